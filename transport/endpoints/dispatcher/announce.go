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
	ask    Ask
	engine string
	begins time.Time
}

// begin counts a placed generation.
func (d *Dispatcher) begin(a Ask, p Place) {
	now := d.Clock.Now()
	home, _ := d.home(a.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active[a.ID] = activeRun{ask: a, engine: p.Engine.ID, begins: now}
	if d.announced[a.Service] == "" {
		d.announced[a.Service] = home.Name
	}
	if !d.announcing {
		d.announcing = true
		go d.announce()
	}
}

// note takes in how far a generation of this host is.
func (d *Dispatcher) note(p Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, ok := d.active[p.ID]
	if !ok {
		return
	}
	switch p.Step {
	case Began:
		r.begins = d.Clock.Now()
		d.active[p.ID] = r
	case Ended, Failed, Refused:
		delete(d.active, p.ID)
	}
}

// announce tells new homes of the generations under way, until there are none.
func (d *Dispatcher) announce() {
	for {
		moved, active := d.moved()
		for service, to := range moved {
			d.announceTo(service, to)
		}
		if !active || !d.sleep(announcePeriod) {
			return
		}
	}
}

// moved returns the services whose home is another one than was announced to.
func (d *Dispatcher) moved() (map[string]tracker.Member, bool) {
	d.mu.Lock()
	if len(d.active) == 0 {
		d.announcing = false
		clear(d.announced)
		d.mu.Unlock()
		return nil, false
	}
	announced := maps.Clone(d.announced)
	d.mu.Unlock()
	moved := make(map[string]tracker.Member)
	for service, last := range announced {
		if home, _ := d.home(service); home.Name != last {
			moved[service] = home
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, home := range moved {
		d.announced[service] = home.Name
	}
	return moved, true
}

func (d *Dispatcher) announceTo(service string, home tracker.Member) {
	now := d.Clock.Now()
	runs := wire.ActiveRuns{Service: service}
	d.mu.Lock()
	for id, r := range d.active {
		if r.ask.Service == service {
			runs.Runs = append(runs.Runs, wire.ActiveRun{
				ID: id, Engine: r.engine, Prompt: r.ask.Prompt, Hint: r.ask.Hint, Max: r.ask.MaxOutput,
				Age: int(now.Sub(r.begins).Milliseconds()),
			})
		}
	}
	d.mu.Unlock()
	if _, own := d.home(service); own {
		d.desk(service).learn(runs)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerSlack)
	defer cancel()
	if err := messenger.Tell(ctx, d.Messenger, home.Address, kindRuns, runs); err != nil {
		d.setSilent(home, err)
	}
}

func (d *Dispatcher) answerRuns(_ context.Context, w wire.ActiveRuns) (wire.Empty, error) {
	d.desk(w.Service).learn(w)
	return wire.Empty{}, nil
}

// learn takes in the generations that another host has under way.
func (k *desk) learn(w wire.ActiveRuns) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if _, ok := k.update(now); !ok {
		return
	}
	for _, r := range w.Runs {
		job := packer.Job{ID: r.ID, Prompt: r.Prompt, Hint: r.Hint, MaxOutput: r.Max}
		k.placer.Learn(now, r.Engine, job, now.Add(-milliseconds(r.Age)))
	}
}
