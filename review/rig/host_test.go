package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the settings file gives them.
const (
	graceS    = 8
	drainMs   = 2000
	contactMs = 3000
)

// Host is a process of the project, started with the command of the deploy file.
type Host struct {
	Name, Zone                       string
	Front, Ready, Control, Directory string
	Metrics                          int
	cmd                              *exec.Cmd
	exited                           chan struct{}
}

func freePort() (int, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// NewHosts chooses the ports of hosts. All of them are seeds of each other, three at most.
func NewHosts(zones ...string) ([]*Host, error) {
	var hosts []*Host
	for i, zone := range zones {
		h := &Host{Name: fmt.Sprintf("front-%s-%d", zone, i+1), Zone: zone}
		for _, a := range []*string{&h.Front, &h.Ready, &h.Control, &h.Directory} {
			port, err := freePort()
			if err != nil {
				return nil, err
			}
			*a = fmt.Sprintf("127.0.0.1:%d", port)
		}
		var err error
		if h.Metrics, err = freePort(); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// Start writes the settings and starts the process. store is the address at which it reaches the store.
func (h *Host) Start(dir, store string, seeds []*Host) error {
	var list []string
	for _, s := range seeds[:min(3, len(seeds))] {
		list = append(list, fmt.Sprintf("%q", s.Control))
	}
	text := fmt.Sprintf(`nodeName = %q
role = "router"
machineClass = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = %q
region = "west"
internalPorts = [%d,%d]
seeds = [%s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
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
`, h.Name, h.Zone, h.Metrics-1, h.Metrics, strings.Join(list, ","), h.Front, h.Ready, h.Control, h.Directory, store)
	path := filepath.Join(dir, h.Name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(dir, h.Name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/hornbeamspan", "platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "HORNBEAMSPAN_NODE_FILE=" + path}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		_ = out.Close()
		close(h.exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(sig syscall.Signal) { _ = h.cmd.Process.Signal(sig) }

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// IsReady asks the host at its ready address.
func (h *Host) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Ready+"/api/readyz", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitHosts waits until all hosts are ready and each one names all of them to clients.
func AwaitHosts(hosts []*Host) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := true
		for _, h := range hosts {
			list, _ := Resolve(h)
			ok = ok && h.IsReady() && len(list) == len(hosts)
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("the hosts were not ready within 20 s")
}
