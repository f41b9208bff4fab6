package generator

import (
	"context"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/watcher"
)

// kindSuspect is the kind of messages that tell of requests under which engines died.
const kindSuspect = "suspect"

func (g *Generator) isConvicted(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.IsConvicted(fingerprint)
}

func (g *Generator) isSuspect(fingerprint uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.IsSuspect(fingerprint)
}

func (g *Generator) finished(fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Finished(fingerprint)
}

// died counts the death of engine e against the request and tells the other hosts.
func (g *Generator) died(e watcher.Endpoint, fingerprint uint64) {
	g.mu.Lock()
	s := g.quarantine.Died(time.Now(), fingerprint)
	convicted := g.quarantine.IsConvicted(fingerprint)
	g.mu.Unlock()
	eventer.Warn(g.options.Logs, eventer.EngineGone, "engine", e.Name, "fingerprint", fingerprint, "deaths", s.Deaths)
	if convicted {
		eventer.Warn(g.options.Logs, eventer.Convicted, "fingerprint", fingerprint, "deaths", s.Deaths)
	}
	for _, m := range g.options.Hosts.Serving() {
		if m.Name != g.options.Node {
			tell := wire.SuspectTell{Print: fingerprint, Deaths: s.Deaths}
			go func() {
				_ = messenger.Tell(context.Background(), g.options.Messenger, m.Address, kindSuspect, tell)
			}()
		}
	}
}

func (g *Generator) learnSuspect(_ context.Context, w wire.SuspectTell) (wire.Empty, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quarantine.Learn(time.Now(), w.Print, w.Deaths)
	return wire.Empty{}, nil
}

// alone lets one suspect of this host at a time use engine name. The returned function ends the use.
func (g *Generator) alone(ctx context.Context, name string) (end func(), err error) {
	var turn chan struct{}
	g.suspects.Update(name, func(c chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			c = make(chan struct{}, 1)
		}
		turn = c
		return c, true
	})
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
