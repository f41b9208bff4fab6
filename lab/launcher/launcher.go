// Package launcher starts a system of entry hosts, simulated engines and services as local processes, and stops them.
package launcher

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
)

const (
	// PeerKey is the shared key by which launched hosts authenticate to each other.
	PeerKey = "lab-peer-key"
	// OperatorKey is the bearer token of the operators' API of launched hosts.
	OperatorKey = "lab-operator-key"
	// Token is the bearer token of the organisation in Rules.
	Token = "lab-token"
	// readyTimeout limits the wait until one process is listening, and until one host is ready.
	readyTimeout = 15 * time.Second
	// stopTimeout limits the wait until all threads of a process that got SIGSTOP are stopped.
	stopTimeout = 5 * time.Second
	// maxOutputBytes is how much of a log an EndedError holds.
	maxOutputBytes = 4 << 10
	// pollInterval is the interval between two checks of a condition in Await.
	pollInterval = 20 * time.Millisecond
)

// Spec describes the processes of a System.
type Spec struct {
	// Bin is the folder with the programs hornbeamspan and hornbeamctl, Dir the folder for logs.
	Bin string
	Dir string
	// DataCentres is the number of data centres to which hosts are assigned in turn.
	Hosts       int
	DataCentres int
	Prefill     int
	Decode      int
	Services    int
	// Args holds additional flags by kind of process: host, log, hosts, engine, prefill, decode, service.
	Args map[string][]string
}

// System holds the running processes that Start and AddHost have started.
type System struct {
	spec      Spec
	Log       *Process
	HostList  *Process
	Hosts     []*Process
	Engines   []*Process
	Services  []*Process
	mu        sync.Mutex
	processes []*Process
}

// Start starts the processes of spec, the entry hosts last. Hosts become ready only after rules have been published.
func Start(ctx context.Context, spec Spec) (*System, error) {
	s := &System{spec: spec}
	if err := os.MkdirAll(spec.Dir, 0o755); err != nil {
		return nil, errorx.Decorate(err, "launcher: unable to create the log folder")
	}
	if err := s.start(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *System) start(ctx context.Context) error {
	var err error
	if s.Log, err = s.startSimulated(ctx, "log", "log", nil); err != nil {
		return err
	}
	if s.HostList, err = s.startSimulated(ctx, "hosts", "hosts", nil); err != nil {
		return err
	}
	for i := range s.spec.Prefill {
		if err := s.startEngine(ctx, fmt.Sprintf("prefill-%d", i), "prefill"); err != nil {
			return err
		}
	}
	for i := range s.spec.Decode {
		if err := s.startEngine(ctx, fmt.Sprintf("decode-%d", i), "decode"); err != nil {
			return err
		}
	}
	for i := range s.spec.Services {
		p, err := s.startSimulated(ctx, fmt.Sprintf("desk-%d", i), "service", []string{"--pool", "desk", "--hosts", s.HostList.Address.String()})
		if err != nil {
			return err
		}
		s.Services = append(s.Services, p)
	}
	return s.startHosts(ctx)
}

func (s *System) startEngine(ctx context.Context, name, role string) error {
	args := append([]string{"--role", role, "--pool", role, "--hosts", s.HostList.Address.String()}, s.spec.Args[role]...)
	p, err := s.startSimulated(ctx, name, "engine", args)
	if err == nil {
		s.Engines = append(s.Engines, p)
	}
	return err
}

// startSimulated starts a simulated part of the platform on a free port.
func (s *System) startSimulated(ctx context.Context, name, kind string, args []string) (*Process, error) {
	address, err := FreePort()
	if err != nil {
		return nil, err
	}
	all := append([]string{"lab", kind, "--listen", address.String()}, args...)
	if kind == "engine" || kind == "service" {
		all = append(all, "--name", name)
	}
	p := &Process{
		Name: name, Address: address, args: append(all, s.spec.Args[kind]...),
		bin: filepath.Join(s.spec.Bin, "hornbeamctl"), dir: s.spec.Dir,
	}
	return p, s.startProcess(ctx, p)
}

func (s *System) startHosts(ctx context.Context) error {
	for i := range s.spec.Hosts {
		if _, err := s.AddHost(ctx, fmt.Sprintf("host-%d", i), nil); err != nil {
			return err
		}
	}
	return nil
}

// AddHost starts another entry host with additional flags. The first host is its seed.
func (s *System) AddHost(ctx context.Context, name string, args []string) (*Process, error) {
	p := &Process{Name: name, bin: filepath.Join(s.spec.Bin, "hornbeamspan"), dir: s.spec.Dir}
	for _, a := range []*netip.AddrPort{&p.Address, &p.Operators, &p.Peers} {
		address, err := FreePort()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	p.args = []string{
		"--name", name, "--zone", fmt.Sprintf("zone-%d", len(s.Hosts)%max(1, s.spec.DataCentres)),
		"--callers", p.Address.String(), "--operators", p.Operators.String(), "--peers", p.Peers.String(),
		"--log", s.Log.Address.String(), "--hosts", s.HostList.Address.String(),
		"--peer-key", PeerKey, "--operator-key", OperatorKey,
	}
	if len(s.Hosts) > 0 {
		p.args = append(p.args, "--seeds", s.Hosts[0].Peers.String())
	}
	p.args = append(append(p.args, s.spec.Args["host"]...), args...)
	if err := s.startProcess(ctx, p); err != nil {
		return nil, err
	}
	s.Hosts = append(s.Hosts, p)
	return p, nil
}

func (s *System) startProcess(ctx context.Context, p *Process) error {
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	if err := p.launch(); err != nil {
		return err
	}
	return p.awaitListening(ctx)
}

// TimeoutError reports that a condition was not met in time.
type TimeoutError struct {
	After time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("launcher: unable to meet the awaited condition within %s", e.After)
}

// Await polls check until it returns true, for at most limit.
func Await(ctx context.Context, limit time.Duration, check func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !check() {
		select {
		case <-ctx.Done():
			return &TimeoutError{After: limit}
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// AwaitReady waits until every entry host is ready, has discovered all other hosts and has the load of every engine.
func (s *System) AwaitReady(ctx context.Context) error {
	for _, h := range s.Hosts {
		if err := Await(ctx, readyTimeout, func() bool { return h.isReady() && s.hasFullView(ctx, h) }); err != nil {
			return errorx.Decorate(err, "launcher: unable to get %s ready", h.Name)
		}
	}
	return nil
}

// hasFullView reports whether host h has discovered all hosts, engines and services.
func (s *System) hasFullView(ctx context.Context, h *Process) bool {
	status, err := h.Status(ctx)
	if err != nil || len(status.Hosts) < len(s.Hosts) {
		return false
	}
	engines, services := 0, 0
	for _, e := range status.Endpoints {
		if e.Slots > 0 {
			engines++
			continue
		}
		services++
	}
	return engines >= len(s.Engines) && services >= len(s.Services)
}

// Status fetches the status of an entry host from its operators' API.
func (p *Process) Status(ctx context.Context) (administrator.Status, error) {
	var status administrator.Status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/status", p.Operators), nil)
	if err != nil {
		return status, err
	}
	r.Header.Set("Authorization", "Bearer "+OperatorKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&status)
	return status, err
}

func (p *Process) isReady() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s/readyz", p.Operators))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// SetFaults configures fault injection: it sends faults, a JSON object, to path of a simulated part of the platform.
func (p *Process) SetFaults(ctx context.Context, path, faults string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s%s", p.Address, path), strings.NewReader(faults))
	if err != nil {
		return errorx.Decorate(err, "launcher: unable to set faults of %s", p.Name)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errorx.Decorate(err, "launcher: unable to set faults of %s", p.Name)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorx.ExternalError.New("launcher: unable to set faults of %s: expected status 200, got %s", p.Name, resp.Status)
	}
	return nil
}

// Find returns the process with the given name, nil if there is none.
func (s *System) Find(name string) *Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// PID returns the ID of the process, which changes with Restart.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed when the process has exited. Restart replaces it.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Restart waits until the process has exited and starts it again with the same flags.
func (p *Process) Restart(ctx context.Context) error {
	<-p.exited
	if err := p.launch(); err != nil {
		return err
	}
	return p.awaitListening(ctx)
}

// Stop kills every process, in reverse order of their start, and waits until each has exited.
func (s *System) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.processes) - 1; i >= 0; i-- {
		s.processes[i].Kill()
	}
}
