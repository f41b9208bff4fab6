// Package relayer lets one host of each data centre read the platform's log on behalf of the others.
//
// A Topic implements tailer.Log: it reads changes from another host, or from the log itself when that host fails, cannot
// reach the log, or has only outdated records. Offsets are those of the log, so the source may change at any time.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/internal/timekeeper"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/sourceselector"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const kindLog = "log"

// Fractions of Options.ApplyTime.
const (
	// readFraction is the time between two reads of the log by the host that reads on behalf of others.
	readFraction = 0.4
	// pollFraction is how long a source delays an answer that has no changes, which is also how long the detection of a
	// failed source takes.
	pollFraction = 0.125
	// graceFraction is the tolerance for late answers and for the age of records beyond a read interval.
	graceFraction = 0.125
)

// joinTimeout is how long a new host waits for another host to list the log through before it lists the log itself.
const joinTimeout = 400 * time.Millisecond

// joinPollInterval is the time between two checks of the known hosts.
const joinPollInterval = 20 * time.Millisecond

// Hosts lists the hosts that a source is chosen from.
type Hosts interface {
	Self() tracker.Member
	Serving() []tracker.Member
}

// Options holds the dependencies and settings of a Relayer.
type Options struct {
	Log       tailer.Log
	Hosts     Hosts
	Messenger *messenger.Messenger
	// ApplyTime is the time within which a new record must reach every host.
	ApplyTime time.Duration
	// LapseTime is the shortest outage of the log in which entries expire; 0 if they may expire in any.
	LapseTime time.Duration
	// HasSeeds reports whether there are other hosts to join.
	HasSeeds bool
	Clock    clockwork.Clock
	// Uptime measures the age of what is known of the log; nil stands for the clock of the system.
	Uptime timekeeper.Clock
	Logs   hclog.Logger
	Scope  tally.Scope
}

// Relayer chooses the source of all topics of a host and serves topics to other hosts.
type Relayer struct {
	options   Options
	startedAt time.Time
	topics    map[string]*Topic
	mu        sync.Mutex
	selector  *sourceselector.Selector
	source    source
	// lastRead is the start of the last successful read of the log, lostAt the time of the first failure after it.
	lastRead time.Time
	lostAt   time.Time
	outages  int
}

// source is the host that records are read from; an empty name means the log itself.
type source struct {
	name   string
	member tracker.Member
	// ctx is cancelled when another source is chosen.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Relayer and registers its message handler. All topics must be added before the first message.
func New(o Options) *Relayer {
	self := o.Hosts.Self()
	if o.Uptime == nil {
		o.Uptime = timekeeper.System{}
	}
	r := &Relayer{
		options: o, startedAt: o.Clock.Now(), topics: make(map[string]*Topic), selector: sourceselector.New(candidate(self)),
	}
	messenger.Handle(o.Messenger, kindLog, r.handleLog)
	return r
}

// Topic adds a topic. Records for which isChange returns false are not sent to other hosts.
func (r *Relayer) Topic(name string, isChange func(key string, old, value []byte) bool) *Topic {
	t := newTopic(r, name, isChange)
	r.topics[name] = t
	return t
}

func (r *Relayer) applyTimeFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(r.options.ApplyTime))
}

func candidate(m tracker.Member) sourceselector.Host {
	return sourceselector.Host{Name: m.Name, DataCentre: m.DataCentre, Disconnected: m.LogUnreachable, Power: m.Power}
}

// chooseSource returns the current source and cancels requests to the previous one if it differs.
func (r *Relayer) chooseSource() source {
	serving := r.options.Hosts.Serving()
	candidates := make([]sourceselector.Host, 0, len(serving))
	for _, m := range serving {
		candidates = append(candidates, candidate(m))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := r.selector.Source(r.options.Clock.Now(), candidates)
	if name == r.source.name && (name == "" || r.source.ctx.Err() == nil) {
		return r.source
	}
	if r.source.cancel != nil {
		r.source.cancel()
	}
	previous := r.source.name
	r.source = source{name: name}
	if name != "" {
		r.source.ctx, r.source.cancel = context.WithCancel(context.Background())
		for _, m := range serving {
			if m.Name == name {
				r.source.member = m
			}
		}
	}
	eventlogger.Info(r.options.Logs, eventlogger.SourceChanged, "source", sourceName(name), "before", sourceName(previous))
	return r.source
}

func sourceName(name string) string {
	if name == "" {
		return "log"
	}
	return name
}

// failSource excludes a source for a cooldown period.
func (r *Relayer) failSource(s source, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.selector.RecordSourceFailure(r.options.Clock.Now(), s.name)
	r.dropSource(s, reason)
}

// handleSourceOutage records that a source cannot reach the log and reports whether another source must be chosen.
func (r *Relayer) handleSourceOutage(s source) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.selector.RecordSourceOutage(r.options.Clock.Now(), s.name) {
		return false
	}
	r.dropSource(s, "it cannot reach the log")
	return true
}

// dropSource cancels pending requests to a source. The caller holds mu.
func (r *Relayer) dropSource(s source, reason string) {
	if r.source.name == s.name {
		s.cancel()
	}
	r.options.Scope.Counter("log_source_failures").Inc(1)
	eventlogger.Warn(r.options.Logs, eventlogger.SourceFailed, "source", s.name, "reason", reason)
}

// recordRead records the result of a read of the log that started at start.
func (r *Relayer) recordRead(start time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	if err == nil {
		r.selector.RecordLogSuccess()
		r.lostAt = time.Time{}
		if start.After(r.lastRead) {
			r.lastRead = start
		}
		return
	}
	r.selector.RecordLogFailure(now)
	if r.lostAt.IsZero() {
		r.outages++
		r.lostAt = now
	}
}

// LostFor returns how long this host itself has been unable to read the log, or 0 if its last read succeeded.
func (r *Relayer) LostFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt.IsZero() {
		return 0
	}
	return r.options.Clock.Since(r.lostAt)
}

// mayReadLog reports whether a host that has a source may read the log itself as well.
func (r *Relayer) mayReadLog() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.MayReadLog(r.options.Clock.Now())
}

func (r *Relayer) isProbeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.IsProbeDue(r.options.Clock.Now())
}

// awaitPeers waits until there is another host to read from, until another host reads from this one, or until joinTimeout
// after the start.
func (r *Relayer) awaitPeers(ctx context.Context) {
	clock := r.options.Clock
	for r.options.HasSeeds && ctx.Err() == nil && clock.Since(r.startedAt) < joinTimeout {
		if r.chooseSource().name != "" || r.hasFollowers() {
			return
		}
		select {
		case <-ctx.Done():
		case <-clock.After(joinPollInterval):
		}
	}
}

func (r *Relayer) hasFollowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.selector.HasFollowers(r.options.Clock.Now())
}
