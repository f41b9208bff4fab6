//go:build review3

// Package standins3 holds the stand-ins that the scripts of review/11 to review/15 start. It is built with
//
//	go test -tags review3 -c -o target/review3-standins ./review/standins3
//
// and run as target/review3-standins CASE FOLDER.
package standins3

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*rig) int{}

func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3-standins CASE FOLDER")
		os.Exit(noRun)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noRun)
	}
	code := cases[os.Args[1]](r)
	r.stop()
	r.note("exit %d", code)
	os.Exit(code)
}

// rig runs hosts of the deploy file beside stand-ins of the platform and its endpoints.
type rig struct {
	store   *emulator.Store
	dir     string
	record  *os.File
	start   time.Time
	mu      sync.Mutex
	hosts   []*host
	closers []func()
	// isTroubled is false if the case runs without its disruption.
	isTroubled bool
}

func newRig(folder string) (*rig, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	r := &rig{store: emulator.NewStore(), dir: dir, record: record, start: time.Now(), isTroubled: os.Getenv("TROUBLE") != "0"}
	r.note("disruption: %t", r.isTroubled)
	return r, nil
}

// note writes a line of the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) stop() {
	for _, h := range r.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		r.note("process %d of host %s ended", h.cmd.Process.Pid, h.name)
	}
	for _, c := range r.closers {
		c()
	}
	r.store.Close()
	_ = os.RemoveAll(r.dir)
}

// host is a process of the deploy file's role.
type host struct {
	name      string
	cmd       *exec.Cmd
	callers   netip.AddrPort
	ready     netip.AddrPort
	peers     netip.AddrPort
	directory netip.AddrPort
	operators netip.AddrPort
	exited    chan struct{}
}

func freePorts(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list, nil
}

// settings are those of the small deployment of adaeze-span, as DEPLOY.md shows them, with addresses of this machine.
const settings = `
nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = %q
region = "ng-west"
internalPorts = [%d,%d]
seeds = [%q]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
ng-west-a = "ng-west"
ng-west-b = "ng-west"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpuShare = 0.272
cores = 1
memoryMb = 120
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

// addHost starts a host as the deploy file says. store is the address at which it reaches the store.
func (r *rig) addHost(name, zone string, store netip.AddrPort) (*host, error) {
	ports, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	h := &host{name: name, callers: ports[0], ready: ports[1], peers: ports[2], directory: ports[3], operators: ports[4], exited: make(chan struct{})}
	seed := h.peers
	if len(r.hosts) > 0 {
		seed = r.hosts[0].peers
	}
	text := fmt.Sprintf(settings, name, zone, ports[5].Port(), h.operators.Port(), seed, h.callers, h.ready, h.peers, h.directory, store)
	path := filepath.Join(r.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		if log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
			return nil, err
		}
	}
	h.cmd = exec.Command("target/hornbeamspan", "platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMSPAN_NODE_FILE=" + path}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_, _ = h.cmd.Process.Wait()
		close(h.exited)
	}()
	r.hosts = append(r.hosts, h)
	r.note("host %s: process %d, callers at %s", name, h.cmd.Process.Pid, h.callers)
	return h, nil
}

// hasExited reports whether the process has ended.
func (h *host) hasExited() bool {
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// awaitReady waits until all hosts are ready and list each other.
func (r *rig) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.areReady() {
			r.note("all hosts are ready")
			return true
		}
	}
	r.note("the hosts did not get ready")
	return false
}

func (r *rig) areReady() bool {
	for _, h := range r.hosts {
		if status, _ := get(h.ready, "/api/readyz"); status != http.StatusOK {
			return false
		}
		_, list := get(h.directory, "/api/resolve?name=shop.example&region=ng-west&zone=ng-west-a")
		for _, other := range r.hosts {
			if !strings.Contains(list, other.callers.String()) {
				return false
			}
		}
	}
	return true
}

func get(at netip.AddrPort, path string) (int, string) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + at.String() + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// memory returns a field of a process's status in bytes, 0 if the process has ended.
func (h *host) memory(field string) int64 {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kb int64
		if name, value, ok := strings.Cut(s.Text(), ":"); ok && name == field {
			_, _ = fmt.Sscan(value, &kb)
			return kb << 10
		}
	}
	return 0
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMs, attempts int, more map[string]any) map[string]any {
	m := map[string]any{
		"name": name, "hostname": "shop.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 100,
		"priority": 1, "service": service, "maxAttempts": attempts,
	}
	for k, v := range more {
		m[k] = v
	}
	return m
}

// putConfig publishes a configuration with the limits of the small deployments.
func (r *rig) putConfig(version int, routes ...map[string]any) {
	r.store.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{
				"name": "writer", "healthCheck": "/health", "maxConnections": 720, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 102942, "tokenKvBytes": 18432, "linkMbps": 700000.0, "moves": true, "backups": true, "stride": 64, "most": 12,
					"kvHoldS": 0.5, "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": "desk", "healthCheck": "/health", "maxConnections": 192, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	r.note("configuration %d", version)
}

// startEndpoint starts an endpoint of the project's stand-in, which renews its entry.
func (r *rig) startEndpoint(cfg emulator.Config) *emulator.Endpoint {
	e := emulator.Start(r.store, cfg)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			time.Sleep(1200 * time.Millisecond)
			e.Announce()
		}
	}()
	r.closers = append(r.closers, func() {
		cancel()
		e.Close()
	})
	return e
}
