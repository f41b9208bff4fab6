//go:build review2

package standins2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a host of a small deployment, with the figures of the users' pages.
const settings = `
nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
zone-a = "region-a"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.272
cores = 1
memoryMb = %d
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 104
recoverS = 12
transitMs = 120
againS = 3
requireFence = true
leaseMs = 3000
thawMs = 300
ttl_max_s = 5
[platform]
address = %q
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`

// memoryMB is the memory of a machine of a small deployment.
const memoryMB = 120

// host is a process of the system, started with the command of the deploy file.
type host struct {
	name, front, ready, control, directory string
	metrics                                int
	file                                   string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
	log                                    string
	extra                                  []string
}

// freePorts returns n free loopback ports.
func freePorts(n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cannotRun("no free port: %s", err)
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		l.Close()
	}
	return ports
}

func loopback(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

var (
	hostsMu sync.Mutex
	hosts   []*host
)

// newHost writes the settings of a host.
func newHost(name, store string, seeds ...string) *host {
	p := freePorts(6)
	h := &host{name: name, front: loopback(p[0]), ready: loopback(p[1]), control: loopback(p[2]), directory: loopback(p[3]), metrics: p[4]}
	h.file = filepath.Join(tempDir, name+".toml")
	h.log = filepath.Join(tempDir, name+".log")
	var quoted []string
	for _, s := range append(seeds, h.control) {
		quoted = append(quoted, strconv.Quote(s))
	}
	text := fmt.Sprintf(settings, name, p[5], h.metrics, strings.Join(quoted, ","), h.front, h.ready, h.control, h.directory, memoryMB, store)
	if err := os.WriteFile(h.file, []byte(text), 0o644); err != nil {
		cannotRun("settings: %s", err)
	}
	return h
}

// start runs the command of the deploy file.
func (h *host) start() {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("log: %s", err)
	}
	defer out.Close()
	h.cmd = exec.Command("target/hornbeamspan", "platform")
	h.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMSPAN_NODE_FILE=" + h.file}, h.extra...)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		cannotRun("start of %s: %s", h.name, err)
	}
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	hostsMu.Lock()
	hosts = append(hosts, h)
	hostsMu.Unlock()
}

func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if h.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready after 20 s", h.name)
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns a field of the process status in bytes, 0 if the process has ended.
func (h *host) memory(field string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return n << 10
		}
	}
	return 0
}

// stopAll ends all hosts.
func stopAll() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	for _, h := range hosts {
		if !h.hasExited() {
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": "shop.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": 14000,
		"targetLatencyMs": 900, "priority": 1, "service": service, "maxAttempts": 1,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// entryWriter is a store as servers and operators write to it.
type entryWriter interface {
	PutJSON(topic, key string, value any) uint64
}

// putConfig writes a configuration as the operator does.
func putConfig(s entryWriter, version int, engine map[string]any, routes ...map[string]any) {
	putConfigWith(s, version, map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}, engine, routes...)
}

func putConfigWith(s entryWriter, version int, limits, engine map[string]any, routes ...map[string]any) {
	services := []map[string]any{{"name": "desk", "healthCheck": "/health", "maxConnections": 1000}}
	if engine != nil {
		services = append(services, map[string]any{"name": "writer", "healthCheck": "/health", "maxConnections": 1000, "engine": engine})
	} else {
		services = append(services, map[string]any{"name": "writer", "healthCheck": "/health", "maxConnections": 1000})
	}
	s.PutJSON("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": services, "limits": limits})
}
