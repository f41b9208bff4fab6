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

// announceInterval is the interval of the check whether a service has a new owner, while generations run.
const announceInterval = 100 * time.Millisecond

// activeRun is a generation of this host that an engine runs.
type activeRun struct {
	request Request
	engine  string
	started time.Time
}

// addRun records a placed generation and starts the announcements if none are active.
func (d *Dispatcher) addRun(r Request, p Placement) {
	now := d.Clock.Now()
	owner, _ := d.owner(r.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeRuns[r.ID] = activeRun{request: r, engine: p.DecodeEngine.ID, started: now}
	if d.announcedOwners[r.Service] == "" {
		d.announcedOwners[r.Service] = owner.Name
	}
	if !d.isAnnouncing {
		d.isAnnouncing = true
		go d.announceRuns()
	}
}

// updateRun applies a progress report to the run of this host, if it is still tracked.
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

// announceRuns reports the active runs to new owners until no run is left.
func (d *Dispatcher) announceRuns() {
	for {
		moved, active := d.movedServices()
		for service, to := range moved {
			d.announceTo(service, to)
		}
		if !active || !d.sleep(announceInterval) {
			return
		}
	}
}

// movedServices returns the services whose owner differs from the one last announced to. It returns false if no run is left.
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
		if owner, _ := d.owner(service); owner.Name != last {
			moved[service] = owner
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, owner := range moved {
		d.announcedOwners[service] = owner.Name
	}
	return moved, true
}

func (d *Dispatcher) announceTo(service string, owner tracker.Member) {
	now := d.Clock.Now()
	runs := wire.ActiveRuns{Service: service}
	d.mu.Lock()
	for id, r := range d.activeRuns {
		if r.request.Service == service {
			runs.Runs = append(runs.Runs, wire.ActiveRun{
				ID: id, Engine: r.engine, Prompt: r.request.Prompt, Hint: r.request.Hint, MaxOutput: r.request.MaxOutput,
				Age: int(now.Sub(r.started).Milliseconds()),
			})
		}
	}
	d.mu.Unlock()
	if _, isOwn := d.owner(service); isOwn {
		d.scheduler(service).addRuns(runs)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerGrace)
	defer cancel()
	if err := messenger.Notify(ctx, d.Messenger, owner.Address, kindRuns, runs); err != nil {
		d.markUnresponsive(owner, err)
	}
}

func (d *Dispatcher) handleRuns(_ context.Context, m wire.ActiveRuns) (wire.Empty, error) {
	d.scheduler(m.Service).addRuns(m)
	return wire.Empty{}, nil
}

// addRuns counts generations that another host has placed.
func (s *scheduler) addRuns(m wire.ActiveRuns) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.checkClock()
	if _, ok := s.updateEngines(now); !ok {
		return
	}
	for _, r := range m.Runs {
		job := packer.Job{ID: r.ID, Prompt: r.Prompt, Hint: r.Hint, MaxOutput: r.MaxOutput}
		s.placer.AddRun(now, r.Engine, job, now.Add(-milliseconds(r.Age)))
	}
}
