// Package relayer has one host of each data centre read the platform's log for the others.
//
// A Topic is a log to its reader: it takes changes from another host, or from the log itself where that host fails, is
// out of touch with the log, or knows only what is too old. Offsets are those of the log, so the source may change at any
// moment.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/delegator"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const kindLog = "log"

// The parts of the time in which a record must be followed.
const (
	// readShare is the time between two reads of the log by the host that reads for others.
	readFraction = 0.4
	// askShare is how long an answer without changes is kept back: a source that fails is noticed after that.
	pollFraction = 0.125
	// slackShare is how much later than expected an answer may come, or how much older than a read period it may be.
	graceFraction = 0.125
)

// joinTime is how long a new host waits for another one to list the log through before it lists the log itself.
const joinTimeout = 400 * time.Millisecond

// joinPoll is the time between two looks at the hosts that are known.
const joinPollInterval = 20 * time.Millisecond

// Hosts are the hosts that a source is chosen from.
type Hosts interface {
	Self() tracker.Member
	Serving() []tracker.Member
}

// Options are the parts and settings of a Relayer.
type Options struct {
	Log       tailer.Log
	Hosts     Hosts
	Messenger *messenger.Messenger
	// ApplyTime is how soon a record must be followed.
	ApplyTime time.Duration
	// HasSeeds tells whether there are other hosts to meet.
	HasSeeds bool
	Clock    clockwork.Clock
	Logs     hclog.Logger
	Scope    tally.Scope
}

// Relayer chooses the source of all topics of a host.
type Relayer struct {
	options   Options
	startedAt time.Time
	topics    map[string]*Topic
	mu        sync.Mutex
	delegator *delegator.Delegator
	source    source
	// read is when the last read of the log that succeeded began, lostAt when the first one after it failed.
	lastRead time.Time
	lostAt   time.Time
	outages  int
}

// source is where records come from; an empty name stands for the log itself.
type source struct {
	name   string
	member tracker.Member
	// ctx ends when another source is chosen.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a Relayer and takes the kind of messages that it answers. Topics are added before the first message.
func New(o Options) *Relayer {
	self := o.Hosts.Self()
	r := &Relayer{
		options: o, startedAt: o.Clock.Now(), topics: make(map[string]*Topic), delegator: delegator.New(candidate(self)),
	}
	messenger.Handle(o.Messenger, kindLog, r.handleLog)
	return r
}

// Topic adds a topic. A record for which isNews does not hold is not passed on.
func (r *Relayer) Topic(name string, isNews func(key string, old, value []byte) bool) *Topic {
	t := newTopic(r, name, isNews)
	r.topics[name] = t
	return t
}

func (r *Relayer) applyTimeFraction(part float64) time.Duration {
	return time.Duration(part * float64(r.options.ApplyTime))
}

func candidate(m tracker.Member) delegator.Host {
	return delegator.Host{Name: m.Name, DataCentre: m.DataCentre, Disconnected: m.LogUnreachable, Power: m.Power}
}

// choose returns the source to read from now.
func (r *Relayer) chooseSource() source {
	serving := r.options.Hosts.Serving()
	candidates := make([]delegator.Host, 0, len(serving))
	for _, m := range serving {
		candidates = append(candidates, candidate(m))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name := r.delegator.Source(r.options.Clock.Now(), candidates)
	if name == r.source.name && (name == "" || r.source.ctx.Err() == nil) {
		return r.source
	}
	if r.source.cancel != nil {
		r.source.cancel()
	}
	before := r.source.name
	r.source = source{name: name}
	if name != "" {
		r.source.ctx, r.source.cancel = context.WithCancel(context.Background())
		for _, m := range serving {
			if m.Name == name {
				r.source.member = m
			}
		}
	}
	eventer.Info(r.options.Logs, eventer.SourceChanged, "source", sourceName(name), "before", sourceName(before))
	return r.source
}

func sourceName(name string) string {
	if name == "" {
		return "log"
	}
	return name
}

// fail passes a source over for a while.
func (r *Relayer) failSource(s source, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delegator.RecordSourceFailure(r.options.Clock.Now(), s.name)
	r.dropSource(s, reason)
}

// sourceLost takes in that a source does not reach the log, and tells whether another one is to be asked.
func (r *Relayer) handleSourceOutage(s source) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.delegator.RecordSourceOutage(r.options.Clock.Now(), s.name) {
		return false
	}
	r.dropSource(s, "it does not reach the log")
	return true
}

// leave ends what is asked of a source. The caller holds mu.
func (r *Relayer) dropSource(s source, reason string) {
	if r.source.name == s.name {
		s.cancel()
	}
	r.options.Scope.Counter("log_source_failures").Inc(1)
	eventer.Warn(r.options.Logs, eventer.SourceFailed, "source", s.name, "reason", reason)
}

// noteRead takes in how a read of the log that began at a time has ended.
func (r *Relayer) recordRead(begun time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock.Now()
	if err == nil {
		r.delegator.RecordLogSuccess()
		r.lostAt = time.Time{}
		if begun.After(r.lastRead) {
			r.lastRead = begun
		}
		return
	}
	r.delegator.RecordLogFailure(now)
	if r.lostAt.IsZero() {
		r.outages++
		r.lostAt = now
	}
}

// LostFor returns how long the log has been out of this host's own reach, 0 if it is not known to be.
func (r *Relayer) LostFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lostAt.IsZero() {
		return 0
	}
	return r.options.Clock.Since(r.lostAt)
}

// mayTry tells whether a host that has a source tries the log all the same.
func (r *Relayer) mayReadLog() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delegator.MayReadLog(r.options.Clock.Now())
}

func (r *Relayer) isProbeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delegator.IsProbeDue(r.options.Clock.Now())
}

// await waits until there is another host to ask, or another one asks, or for joinTime after the start.
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
	return r.delegator.HasFollowers(r.options.Clock.Now())
}
