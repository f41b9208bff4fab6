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
	// ticksPerSecond is the unit of processor times in /proc/PID/stat (USER_HZ).
	ticksPerSecond = 100
	// userField and systemField are the indexes of the processor times in /proc/PID/stat, counted after the command name.
	userField   = 11
	systemField = 12
)

// Usage is the resource usage of a process since its start. MaxMemory is its largest resident size in bytes.
type Usage struct {
	CPUSeconds float64
	MaxMemory  int64
	PeerBytes  int64
}

// usage returns the resource usage of each host that answers, by name.
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

// ProcessUsage reads the usage of a process from /proc. PeerBytes stays 0.
func ProcessUsage(p *launcher.Process) Usage {
	var u Usage
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if _, rest, ok := strings.Cut(string(stat), ") "); ok {
		fields := strings.Fields(rest)
		user, _ := strconv.ParseFloat(fields[userField], 64)
		system, _ := strconv.ParseFloat(fields[systemField], 64)
		u.CPUSeconds = (user + system) / ticksPerSecond
	}
	u.MaxMemory = p.Memory("VmHWM")
	return u
}

// setUsage sets the mean usage over the hosts that answered both before and after.
func (r *Row) setUsage(before, after map[string]Usage, elapsed time.Duration) {
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
		r.CPUShare /= hosts * elapsed.Seconds()
		r.PeerBytes /= hosts * elapsed.Seconds()
	}
}
