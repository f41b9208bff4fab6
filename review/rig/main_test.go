// Package rig plays the cases of this review: it starts hosts of the project as separate processes on loopback addresses, with
// stand-ins of the store, the engines and the clients, and checks one rule. It is built as a test program, run as "rig CASE FOLDER".
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held        = 0
	broken      = 1
	couldNotRun = 2
)

var cases = map[string]func(*Trial) (int, error){}

// Trial is one run of a case.
type Trial struct {
	// HasTrouble is unset in the run without the disruption.
	HasTrouble bool
	Dir        string
	Record     *Record
	Store      *Store
	Hosts      []*Host
	mu         sync.Mutex
	cleanups   []func()
}

// Cleanup registers a function to be called at the end.
func (t *Trial) Cleanup(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cleanups = append(t.cleanups, f)
}

// StartHosts starts a host in each of some zones and waits until all are ready. The store address can be replaced per host.
func (t *Trial) StartHosts(storeAddress func(i int) string, zones ...string) error {
	hosts, err := NewHosts(zones...)
	if err != nil {
		return err
	}
	for i, h := range hosts {
		if err := h.Start(t.Dir, storeAddress(i), hosts); err != nil {
			return err
		}
		t.Cleanup(h.Kill)
	}
	t.Hosts = hosts
	if err := AwaitHosts(hosts); err != nil {
		return err
	}
	for _, h := range hosts {
		t.Record.Printf(time.Now(), "host %s (process %d) is ready; clients use %s", h.Name, h.cmd.Process.Pid, h.Front)
	}
	return nil
}

// PutConfig writes the operator's configuration.
func (t *Trial) PutConfig(routes []map[string]any, services ...string) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthCheck": "/health"})
	}
	t.Store.Put(configTopic, "config", map[string]any{
		"version": 1, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// longestRun is the time after which a case is given up.
const longestRun = 118 * time.Second

// end ends all that the trial has started, the newest first.
func (t *Trial) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.cleanups) - 1; i >= 0; i-- {
		t.cleanups[i]()
	}
	t.cleanups = nil
}

func run(name, folder string) (int, error) {
	play, ok := cases[name]
	if !ok {
		return couldNotRun, fmt.Errorf("there is no case %q", name)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return couldNotRun, err
	}
	defer os.RemoveAll(dir)
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return couldNotRun, err
	}
	defer file.Close()
	t := &Trial{HasTrouble: os.Getenv("TROUBLE") != "0", Dir: dir, Record: &Record{start: time.Now(), file: file}}
	defer t.end()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(longestRun):
		}
		t.end()
		_ = os.RemoveAll(dir)
		os.Exit(couldNotRun)
	}()
	if t.Store, err = StartStore(); err != nil {
		return couldNotRun, err
	}
	t.Cleanup(t.Store.Close)
	code, err := play(t)
	if err != nil {
		t.Record.Printf(time.Now(), "could not run: %s", err)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range t.Hosts {
			data, _ := os.ReadFile(filepath.Join(dir, h.Name+".log"))
			_ = os.WriteFile(filepath.Join(keep, h.Name+".log"), data, 0o600)
		}
	}
	return code, err
}

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "engine" {
		serveEngine(os.Args[2])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(couldNotRun)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	fmt.Printf("%s: %s\n", os.Args[1], map[int]string{held: "the rule held", broken: "the rule was broken", couldNotRun: "could not run"}[code])
	os.Exit(code)
}
