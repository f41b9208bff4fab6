package dispatcher

import (
	"context"
	"maps"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/packer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// announcePeriod is the time between two looks whether a home has moved, while generations are under way.
const announcePeriod = 100 * time.Millisecond

// activeRun is a generation of this host under way.
type activeRun struct {
	request Request
	engine  string
	started time.Time
}

// begin counts a placed generation.
func (d *Dispatcher) addRun(a Request, p Place) {
	now := d.Clock.Now()
	home, _ := d.owner(a.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeRuns[a.ID] = activeRun{request: a, engine: p.Engine.ID, started: now}
	if d.announcedOwners[a.Service] == "" {
		d.announcedOwners[a.Service] = home.Name
	}
	if !d.isAnnouncing {
		d.isAnnouncing = true
		go d.announceRuns()
	}
}

// note takes in how far a generation of this host is.
func (d *Dispatcher) updateRun(p Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.activeRuns[p.ID]
	if !ok {
		return
	}
	switch p.Step {
	case OutputStarted:
		r.started = d.Clock.Now()
		d.activeRuns[p.ID] = r
	case OutputEnded, Failed, HoldRefused:
		delete(d.activeRuns, p.ID)
	}
}

// announce tells new homes of the generations under way, until there are none.
func (d *Dispatcher) announceRuns() {
	for {
		moved, active := d.movedServices()
		for service, to := range moved {
			d.announceTo(service, to)
		}
		if !active || !d.sleep(announcePeriod) {
			return
		}
	}
}

// moved returns the services whose home is another one than was announced to.
func (d *Dispatcher) movedServices() (map[string]tracker.Member, bool) {
	d.mu.Lock()
	if len(d.activeRuns) == 0 {
		d.isAnnouncing = false
		clear(d.announcedOwners)
		d.mu.Unlock()
		return nil, false
	}
	announced := maps.Clone(d.announcedOwners)
	d.mu.Unlock()
	moved := make(map[string]tracker.Member)
	for service, last := range announced {
		if home, _ := d.owner(service); home.Name != last {
			moved[service] = home
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, home := range moved {
		d.announcedOwners[service] = home.Name
	}
	return moved, true
}

func (d *Dispatcher) announceTo(service string, home tracker.Member) {
	now := d.Clock.Now()
	runs := wire.PlacedRuns{Service: service}
	d.mu.Lock()
	for id, r := range d.activeRuns {
		if r.request.Service == service {
			runs.Runs = append(runs.Runs, wire.PlacedRun{
				ID: id, Engine: r.engine, Prompt: r.request.Prompt, Hint: r.request.Hint, Max: r.request.MaxOutput,
				Age: int(now.Sub(r.started).Milliseconds()),
			})
		}
	}
	d.mu.Unlock()
	if _, own := d.owner(service); own {
		d.scheduler(service).addRuns(runs)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	if err := messenger.Tell(ctx, d.Messenger, home.Address, kindRuns, runs); err != nil {
		d.markUnresponsive(home, err)
	}
}

func (d *Dispatcher) handleRuns(_ context.Context, w wire.PlacedRuns) (wire.Empty, error) {
	d.scheduler(w.Service).addRuns(w)
	return wire.Empty{}, nil
}

// learn takes in the generations that another host has under way.
func (k *scheduler) addRuns(w wire.PlacedRuns) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.checkClock()
	if _, ok := k.updateEngines(now); !ok {
		return
	}
	for _, r := range w.Runs {
		job := packer.Job{ID: r.ID, Prompt: r.Prompt, Hint: r.Hint, MaxOutput: r.Max}
		k.placer.AddRun(now, r.Engine, job, now.Add(-milliseconds(r.Age)))
	}
}
