package measurer

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
)

const (
	// ticksPerSecond is the unit of processor times in /proc.
	ticksPerSecond = 100
	// userField and systemField are the places of processor times behind the command's name in /proc/PID/stat.
	userField   = 11
	systemField = 12
)

// Usage is what a process has used since its start. Processor is in seconds, Memory the largest resident size in bytes.
type Usage struct {
	CPUSeconds float64
	MaxMemory  int64
	PeerBytes  int64
}

// usage returns what each entry host that answers has used.
func (s *system) usage(ctx context.Context) map[string]Usage {
	usage := make(map[string]Usage)
	for _, h := range s.Hosts {
		status, err := h.Status(ctx)
		if err != nil {
			continue
		}
		u := ProcessUsage(h)
		u.PeerBytes = status.PeerBytes
		usage[h.Name] = u
	}
	return usage
}

// ProcessUsage returns what process p has used.
func ProcessUsage(p *launcher.Process) Usage {
	var u Usage
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if _, rest, ok := strings.Cut(string(stat), ") "); ok {
		fields := strings.Fields(rest)
		user, _ := strconv.ParseFloat(fields[userField], 64)
		system, _ := strconv.ParseFloat(fields[systemField], 64)
		u.CPUSeconds = (user + system) / ticksPerSecond
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			u.MaxMemory = kilobytes << 10
		}
	}
	return u
}

// take sets the means over the hosts that were there before and after.
func (r *Row) setUsage(before, after map[string]Usage, passed time.Duration) {
	hosts := 0.0
	for name, a := range after {
		b, ok := before[name]
		if !ok {
			continue
		}
		hosts++
		r.CPUShare += a.CPUSeconds - b.CPUSeconds
		r.PeerBytes += float64(a.PeerBytes - b.PeerBytes)
		r.MaxMemory = max(r.MaxMemory, a.MaxMemory)
	}
	if hosts > 0 {
		r.CPUShare /= hosts * passed.Seconds()
		r.PeerBytes /= hosts * passed.Seconds()
	}
}
