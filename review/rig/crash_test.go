package rig

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

const (
	// crashRounds is the number of engines that crash, crashGap the time between two crashes.
	crashRounds  = 8
	crashGap     = 6 * time.Second
	crashClients = 12
	crashTimeout = 1500 * time.Millisecond
)

// playCrash kills one of three engines at a time, which answer idempotent requests without a length, and starts another one two
// seconds later.
func playCrash(t *Trial) (int, error) {
	var engines []*EngineProcess
	start := func() error {
		n := len(engines)
		e, err := StartEngineProcess(t.Store, fmt.Sprintf("i-desk-%d", n), []string{"west-a", "west-b"}[n%2])
		if err != nil {
			return err
		}
		t.Record.Printf(time.Now(), "engine %s (process %d) starts at %s", e.ID, e.cmd.Process.Pid, e.Address)
		engines = append(engines, e)
		t.Cleanup(e.Kill)
		return nil
	}
	for range 3 {
		if err := start(); err != nil {
			return couldNotRun, err
		}
	}
	t.PutConfig([]map[string]any{{
		"name": "lookup", "hostname": "shop.example", "pathPrefix": "/lookup/", "routeType": "idempotent", "timeoutMs": crashTimeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "service": "desk",
	}}, "desk")
	if err := t.StartHosts(func(int) string { return t.Store.Address }, "west-a", "west-b"); err != nil {
		return couldNotRun, err
	}
	var mu sync.Mutex
	var outcomes []Outcome
	var wait sync.WaitGroup
	done := make(chan struct{})
	for c := range crashClients {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				o := Send(t.Hosts[(c+n)%len(t.Hosts)].Front, "GET", "/lookup/1", fmt.Sprintf("c%d-%04d", c, n), "", crashTimeout, nil)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for n := range crashRounds {
		if t.HasTrouble {
			t.Record.Printf(time.Now(), "SIGKILL to engine %s", engines[n].ID)
			engines[n].Kill()
		}
		time.Sleep(2 * time.Second)
		if t.HasTrouble {
			if err := start(); err != nil {
				return couldNotRun, err
			}
		}
		time.Sleep(crashGap - 2*time.Second)
	}
	close(done)
	wait.Wait()
	return t.judgeCrash(outcomes), nil
}

// judgeCrash checks MIXED: no client gets a success with a body that is not the engine's whole body.
func (t *Trial) judgeCrash(outcomes []Outcome) int {
	slices.SortFunc(outcomes, func(a, b Outcome) int { return a.Sent.Compare(b.Sent) })
	answers, partial := 0, 0
	for _, o := range outcomes {
		t.Record.Printf(o.Sent, "%s to %s: %s, %d bytes", o.ID, o.Host, describe(o), len(o.Body))
		if o.Err != "" || o.Status != 200 {
			continue
		}
		answers++
		if whole := Body(o.ID); o.Body != whole {
			partial++
			t.Record.Printf(o.Ended, "MIXED: %s got a complete answer 200 with %d of %d bytes, signature %s", o.ID, len(o.Body), len(whole), o.Seal)
		}
	}
	t.Record.Printf(time.Now(), "%d requests: %d answered 200, %d of them with a part of the engine's body", len(outcomes), answers, partial)
	switch {
	case partial > 0:
		return broken
	case answers < len(outcomes)*9/10:
		return couldNotRun
	}
	return held
}
