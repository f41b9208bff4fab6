package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

const (
	// stopWork is how long an engine works on one filing, stopTimeout the route's timeout and the clients' deadline.
	stopWork    = 4 * time.Second
	stopTimeout = 10 * time.Second
)

// playStop stops and starts the hosts in turn, as for an update, while clients send requests that an engine works on for some
// seconds. Half of the clients keep an answer of the directory for three lifetimes.
func playStop(t *Trial) (int, error) {
	var engines []*Plain
	for i, zone := range []string{"west-a", "west-b", "west-a", "west-b", "west-a", "west-b", "west-a", "west-b"} {
		e, err := StartPlain(t.Store, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, stopWork)
		if err != nil {
			return couldNotRun, err
		}
		t.Cleanup(e.Exit)
		engines = append(engines, e)
	}
	t.PutConfig([]map[string]any{{
		"name": "filing", "hostname": "shop.example", "pathPrefix": "/filing/", "routeType": "non_idempotent", "timeoutMs": stopTimeout.Milliseconds(),
		"targetLatencyMs": 5000, "priority": 1, "maxAttempts": 2, "service": "desk",
	}}, "desk")
	if err := t.StartHosts(func(int) string { return t.Store.Address }, "west-a", "west-b"); err != nil {
		return couldNotRun, err
	}
	var mu sync.Mutex
	var outcomes []Outcome
	var wait sync.WaitGroup
	done := make(chan struct{})
	for c := range stopClients {
		d := &Directory{hosts: t.Hosts, keep: 1 + 2*(c%2)}
		wait.Go(func() {
			time.Sleep(time.Duration(c) * stopInterval * 3 / stopClients) // clients don't ask the directory at the same time
			for n := 0; ; n++ {
				host := d.Pick()
				id := fmt.Sprintf("c%d-%03d", c, n)
				wait.Go(func() {
					o := Send(host, "POST", "/filing/1", id, "file "+id, stopTimeout, nil)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, o)
				})
				select {
				case <-done:
					return
				case <-time.After(stopInterval/4 + rand.N(stopInterval*3/2)):
				}
			}
		})
	}
	time.Sleep(7 * time.Second)
	var stops []stop
	for n := range stopCount {
		if !t.HasTrouble {
			time.Sleep((graceS + 2) * time.Second)
			continue
		}
		s, err := t.restart(t.Hosts[n%len(t.Hosts)])
		if err != nil {
			return couldNotRun, err
		}
		stops = append(stops, s)
	}
	close(done)
	wait.Wait()
	return t.judgeStop(engines, outcomes, stops), nil
}

const (
	// stopClients send a request every stopInterval each, on the average.
	stopClients  = 16
	stopInterval = 2 * time.Second
	// stopCount is the number of planned stops.
	stopCount = 8
)

// stop is a planned stop of a host.
type stop struct {
	host string
	at   time.Time
}

// restart stops a host as the platform does, starts it again and waits until it is ready.
func (t *Trial) restart(h *Host) (stop, error) {
	s := stop{host: h.Front, at: time.Now()}
	t.Record.Printf(s.at, "SIGTERM to %s (%s)", h.Name, h.Front)
	h.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(graceS * time.Second):
		t.Record.Printf(time.Now(), "SIGKILL to %s", h.Name)
		h.Signal(syscall.SIGKILL)
		<-h.exited
	}
	t.Record.Printf(time.Now(), "%s has ended, %.2f s after the SIGTERM", h.Name, time.Since(s.at).Seconds())
	if err := h.Start(t.Dir, t.Store.Address, t.Hosts); err != nil {
		return s, err
	}
	if err := AwaitHosts(t.Hosts); err != nil {
		return s, err
	}
	time.Sleep(contactMs * time.Millisecond)
	return s, nil
}

// judgeStop checks LOST around a SIGTERM: a request that was read whole and passed on to an engine, and whose connection ends without
// a complete answer until 1 s after graceS. Not counted are those that the engine or a time limit ended, and those that were sent no later
// than 3 s after the SIGTERM and at work in the last sixth of graceS.
func (t *Trial) judgeStop(engines []*Plain, outcomes []Outcome, stops []stop) int {
	ran := make(map[string]Run)
	for _, e := range engines {
		for _, r := range e.Runs() {
			ran[r.ID] = r
		}
	}
	slices.SortFunc(outcomes, func(a, b Outcome) int { return a.Sent.Compare(b.Sent) })
	answers, lost, refused, others := 0, 0, 0, 0
	for _, o := range outcomes {
		r, hasRun := ran[o.ID]
		t.Record.Printf(o.Sent, "%s to %s: %s; %s", o.ID, o.Host, describe(o), describeRun(t.Record, r, hasRun))
		switch {
		case o.Err == "" && o.Status == 200:
			answers++
			continue
		case o.Err == "" && o.Status == 503 && !hasRun, o.Err != "" && !hasRun:
			refused++ // or its connection was refused or closed before it was passed on
			continue
		}
		others++
		for _, s := range stops {
			after, end := o.Sent.Sub(s.at), o.Ended.Sub(s.at)
			if o.Host != s.host || o.Err == "" || end < 0 || end > (graceS+1)*time.Second || o.Ended.Sub(o.Sent) >= stopTimeout || after <= 3*time.Second {
				continue
			}
			lost++
			t.Record.Printf(o.Ended, "LOST: %s was sent %.2f s after the SIGTERM, passed on to %s, and cut %.2f s after the SIGTERM, with %.2f s of its time left",
				o.ID, after.Seconds(), r.Engine, end.Seconds(), (stopTimeout - o.Ended.Sub(o.Sent)).Seconds())
		}
	}
	t.Record.Printf(time.Now(), "%d requests: %d answered, %d not run, %d others, of which %d are lost", len(outcomes), answers, refused, others, lost)
	switch {
	case lost > 0:
		return broken
	case answers < len(outcomes)/2 || !t.HasTrouble && answers != len(outcomes):
		return couldNotRun
	}
	return held
}

func describe(o Outcome) string {
	if o.Err != "" {
		return fmt.Sprintf("no complete answer after %.2f s: %s", o.Ended.Sub(o.Sent).Seconds(), o.Err)
	}
	return fmt.Sprintf("%d after %.2f s", o.Status, o.Ended.Sub(o.Sent).Seconds())
}

func describeRun(rec *Record, r Run, ok bool) string {
	if !ok {
		return "not run"
	}
	end := "its answer was not taken"
	if r.IsComplete {
		end = "its answer was written"
	}
	return fmt.Sprintf("run by %s from %.3f, %s at %.3f", r.Engine, r.Began.Sub(rec.start).Seconds(), end, r.Ended.Sub(rec.start).Seconds())
}
