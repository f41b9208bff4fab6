package rig

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

func init() { cases["reader"] = playReader }

const (
	// readerRounds is the number of engines that leave, each while the host that reads the store for its zone is cut off from it.
	readerRounds = 5
	// cutFor is how long that host is cut off, leaveAfter when an engine leaves in this time.
	cutFor     = 5500 * time.Millisecond
	leaveAfter = 2200 * time.Millisecond
	// lingering is how long an engine serves beyond drainMs before it exits.
	lingering = 600 * time.Millisecond
	// readerWork is how long an engine works on one request, readerTimeout the route's timeout and the clients' deadline.
	readerWork    = 60 * time.Millisecond
	readerTimeout = 1500 * time.Millisecond
)

// playReader cuts the host that reads the store for its zone off from the store, and has an engine leave meanwhile: its entry is
// removed, and it serves on for drainMs and a little longer. The other hosts reach the store all the time.
func playReader(t *Trial) (int, error) {
	var engines []*Plain
	start := func(n int) (*Plain, error) {
		e, err := StartPlain(t.Store, fmt.Sprintf("i-desk-%d", n), "desk", "west-a", readerWork)
		if err == nil {
			engines = append(engines, e)
			t.Cleanup(e.Exit)
		}
		return e, err
	}
	for n := range 3 {
		if _, err := start(n); err != nil {
			return couldNotRun, err
		}
	}
	t.PutConfig([]map[string]any{{
		"name": "filing", "hostname": "shop.example", "pathPrefix": "/filing/", "routeType": "non_idempotent", "timeoutMs": readerTimeout.Milliseconds(),
		"targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "service": "desk",
	}}, "desk")
	var proxies []*Proxy
	for range 4 {
		p, err := StartProxy(t.Store.Address)
		if err != nil {
			return couldNotRun, err
		}
		t.Cleanup(p.Close)
		proxies = append(proxies, p)
	}
	if err := t.StartHosts(func(i int) string { return proxies[i].Address }, "west-a", "west-a", "west-a", "west-a"); err != nil {
		return couldNotRun, err
	}
	var mu sync.Mutex
	var outcomes []Outcome
	var wait sync.WaitGroup
	done := make(chan struct{})
	for i, h := range t.Hosts {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("h%d-%04d", i, n)
				wait.Go(func() {
					o := Send(h.Front, "POST", "/filing/1", id, "file "+id, readerTimeout, nil)
					mu.Lock()
					defer mu.Unlock()
					outcomes = append(outcomes, o)
				})
			}
		})
	}
	time.Sleep(4 * time.Second)
	var cuts []cut
	var leaves []leave
	for n := range readerRounds {
		reader := t.findReader(proxies)
		begin := time.Now()
		if t.HasTrouble {
			proxies[reader].Silence()
			t.Record.Printf(begin, "%s, which reads the list of engines for its zone, is cut off from the store", t.Hosts[reader].Name)
		}
		if _, err := start(3 + n); err != nil { // the new engine starts first
			return couldNotRun, err
		}
		time.Sleep(leaveAfter)
		leaves = append(leaves, t.leave(engines[n]))
		time.Sleep(time.Until(begin.Add(cutFor)))
		proxies[reader].Heal()
		if t.HasTrouble {
			cuts = append(cuts, cut{host: t.Hosts[reader].Front, from: begin, to: time.Now()})
			t.Record.Printf(time.Now(), "%s reaches the store again", t.Hosts[reader].Name)
		}
		time.Sleep(10 * time.Second)
	}
	close(done)
	wait.Wait()
	return t.judgeReader(engines, outcomes, cuts, leaves), nil
}

// cut is a time in which a host was cut off from the store, leave the removal of an engine's entry.
type (
	cut struct {
		host     string
		from, to time.Time
	}
	leave struct {
		engine string
		at     time.Time
	}
)

// findReader returns the host that has read the list of engines most often during one second.
func (t *Trial) findReader(proxies []*Proxy) int {
	before := make([]int64, len(proxies))
	for i, p := range proxies {
		before[i] = p.reads.Load()
	}
	time.Sleep(3 * time.Second)
	best := 0
	for i, p := range proxies {
		if p.reads.Load()-before[i] > proxies[best].reads.Load()-before[best] {
			best = i
		}
	}
	return best
}

// leave has an engine leave that reports no draining: its entry is removed, it serves on for drainMs and a little longer, then exits.
func (t *Trial) leave(e *Plain) leave {
	e.StopAnnouncing()
	time.Sleep(20 * time.Millisecond)
	t.Store.Remove(e.ID)
	l := leave{engine: e.ID, at: time.Now()}
	t.Record.Printf(l.at, "%s leaves: the store has acknowledged the removal of its entry", e.ID)
	time.AfterFunc(drainMs*time.Millisecond+lingering, func() {
		t.Record.Printf(time.Now(), "%s exits", e.ID)
		e.Exit()
	})
	return l
}

// judgeReader checks DRAIN: no request reaches an engine later than drainMs after the removal of its entry, through a host in touch, that
// was not cut off for contactMs.
func (t *Trial) judgeReader(engines []*Plain, outcomes []Outcome, cuts []cut, leaves []leave) int {
	sent := make(map[string]Outcome)
	failed := 0
	for _, o := range outcomes {
		sent[o.ID] = o
		if o.Err != "" || o.Status != 200 {
			failed++
		}
	}
	late := 0
	for _, e := range engines {
		for _, r := range e.Runs() {
			o := sent[r.ID]
			t.Record.Printf(o.Sent, "%s to %s: %s; %s", r.ID, o.Host, describe(o), describeRun(t.Record, r, true))
			n := slices.IndexFunc(leaves, func(l leave) bool { return l.engine == e.ID })
			if n < 0 || r.Began.Sub(leaves[n].at) <= drainMs*time.Millisecond {
				continue
			}
			if slices.ContainsFunc(cuts, func(c cut) bool {
				return c.host == o.Host && o.Sent.After(c.from) && o.Sent.Before(c.to.Add(contactMs*time.Millisecond))
			}) {
				continue // its host was cut off from the store, and not in touch
			}
			late++
			t.Record.Printf(r.Began, "DRAIN: %s reached %s %d ms after the removal of its entry through %s, which reached the store all the time; %s",
				r.ID, e.ID, r.Began.Sub(leaves[n].at).Milliseconds(), o.Host, describe(o))
		}
	}
	t.Record.Printf(time.Now(), "%d requests, %d not answered with 200, %d reached a leaving engine too late", len(outcomes), failed, late)
	switch {
	case late > 0:
		return broken
	case failed > len(outcomes)/50:
		return couldNotRun
	}
	return held
}
