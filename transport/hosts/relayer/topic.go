package relayer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// The states of an answer.
const (
	stateKnown = iota
	// stateExpired means that the changes can no longer be told.
	stateExpired
	// stateUnknown means that the topic was not read yet.
	stateUnknown
)

// LostError reports a source that does not reach the log, or did not for a while.
type LogUnreachableError struct {
	Source string
	// New is set the first time that an outage is told. What lapsed in it must not be taken for lost in calm times, even if
	// it is over.
	IsNew bool
}

func (e *LogUnreachableError) Error() string {
	return "relayer: " + e.Source + " does not reach the log"
}

// SourceError reports a source that cannot be used.
type SourceError struct {
	Source string
	Reason string
}

func (e *SourceError) Error() string {
	return fmt.Sprintf("relayer: unable to read the log through %s: %s", e.Source, e.Reason)
}

// Topic is one topic of the log, read through the chosen source.
type Topic struct {
	relayer *Relayer
	name    string
	replica *replicator.Replica
	// read is when the log was last read for this topic.
	lastRead time.Time
	// listing are the records of a listing under way, and its end.
	listing    []tailer.Record
	listingEnd uint64
	// answered is the source that answered last, and outages how often it had lost the log by then.
	lastSource  string
	lastOutages int
}

var _ tailer.Log = (*Topic)(nil)

func newTopic(r *Relayer, name string, isNews func(string, []byte, []byte) bool) *Topic {
	return &Topic{relayer: r, name: name, replica: replicator.New(isNews)}
}

// Newest returns a page of the newest record of each key. A source tells all of them in one page.
func (t *Topic) Newest(ctx context.Context, topic, after string) (tailer.Page, error) {
	r := t.relayer
	if after == "" {
		r.awaitPeers(ctx)
		t.listing = nil
		if s := r.chooseSource(); s.name != "" {
			if page, err := t.listSource(ctx, s); err == nil {
				return page, nil
			}
		}
	}
	begun := r.options.Clock.Now()
	page, err := r.options.Log.Newest(ctx, topic, after)
	r.recordRead(begun, err)
	if err != nil {
		return page, err
	}
	if after == "" {
		t.listingEnd = page.End
	}
	t.listing = append(t.listing, page.Records...)
	if !page.More || len(page.Records) == 0 {
		t.replica.List(t.listing, t.listingEnd)
		t.listing = nil
	}
	return page, nil
}

func (t *Topic) listSource(ctx context.Context, s source) (tailer.Page, error) {
	records, next, err := t.readSource(ctx, s, wire.LogAsk{Topic: t.name, Whole: true}, t.relayer.applyTimeFraction(pollFraction))
	if err != nil {
		return tailer.Page{}, err
	}
	t.replica.List(records, next)
	return tailer.Page{Records: records, End: next}, nil
}

// Read returns the records from an offset on. A topic without a wait is read at once, in even steps, and shows whether the
// source answers; one with a wait relies on that.
func (t *Topic) Read(ctx context.Context, topic string, from uint64, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	s := r.chooseSource()
	if s.name == "" {
		if wait == 0 {
			t.awaitReadInterval(ctx)
		}
		return t.readLog(ctx, topic, from, wait)
	}
	if r.isProbeDue() {
		if records, next, err := t.readLog(ctx, topic, from, 0); err == nil {
			return records, next, nil
		}
	}
	records, next, err := t.readSource(ctx, s, wire.LogAsk{Topic: t.name, From: from}, max(wait, r.applyTimeFraction(pollFraction)))
	var lost *LogUnreachableError
	var expired *tailer.ExpiredError
	switch {
	case err == nil:
		t.replica.Take(records, next)
		return records, next, nil
	case errors.As(err, &expired) || ctx.Err() != nil:
		return nil, 0, err
	case errors.As(err, &lost) && (lost.IsNew || r.handleSourceOutage(s) || !r.mayReadLog()):
		return nil, 0, err
	}
	records, next, logErr := t.readLog(ctx, topic, from, 0)
	if lost != nil && logErr == nil {
		r.failSource(s, lost.Error()) // the log turns it away, or the way there is cut
	}
	return records, next, logErr
}

// pace waits until the log may be read again for this topic.
func (t *Topic) awaitReadInterval(ctx context.Context) {
	clock := t.relayer.options.Clock
	rest := t.relayer.applyTimeFraction(readFraction) - clock.Since(t.lastRead)
	if rest <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(rest):
	}
}

func (t *Topic) readLog(ctx context.Context, topic string, from uint64, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	t.lastRead = r.options.Clock.Now()
	records, next, err := r.options.Log.Read(ctx, topic, from, wait)
	var expired *tailer.ExpiredError
	if errors.As(err, &expired) {
		r.recordRead(t.lastRead, nil)
		return nil, 0, err
	}
	r.recordRead(t.lastRead, err)
	if err != nil {
		return nil, 0, err
	}
	t.replica.Take(records, next)
	return records, next, nil
}

// ask takes records from a source. The error is a *LostError, a *tailer.ExpiredError, or tells why the source is of no use.
func (t *Topic) readSource(ctx context.Context, s source, ask wire.LogAsk, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	ask.Wait = int(wait.Milliseconds())
	bounded, cancel := context.WithTimeout(ctx, wait+r.applyTimeFraction(graceFraction))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	answer, err := messenger.Call[wire.LogAsk, wire.LogAnswer](bounded, r.options.Messenger, s.member.Address, kindLog, ask)
	if err != nil {
		if s.ctx.Err() == nil && ctx.Err() == nil {
			r.failSource(s, err.Error())
		}
		return nil, 0, err
	}
	age := time.Duration(answer.Age) * time.Millisecond
	switch {
	case t.isNewOutage(s, answer.Outages):
		return nil, 0, &LogUnreachableError{Source: s.name, IsNew: true}
	case answer.Lost:
		return nil, 0, &LogUnreachableError{Source: s.name}
	case answer.State == stateUnknown || age > r.applyTimeFraction(readFraction+graceFraction):
		// It may have begun to read only now; from the next time on it is expected to know.
		return nil, 0, &SourceError{Source: s.name, Reason: fmt.Sprintf("what it knows is %s old", age)}
	case answer.State == stateExpired:
		return nil, 0, &tailer.ExpiredError{Topic: t.name}
	}
	records, err := encoder.Records(answer.Records, answer.Packed)
	if err != nil {
		r.failSource(s, err.Error())
		return nil, 0, err
	}
	return records, answer.Next, nil
}

// isNewOutage tells whether a source has lost the log since it answered last.
func (t *Topic) isNewOutage(s source, outages int) bool {
	isNew := t.lastSource == s.name && outages != t.lastOutages
	t.lastSource, t.lastOutages = s.name, outages
	return isNew
}

// answer tells another host what this one has read.
func (r *Relayer) handleLog(ctx context.Context, w wire.LogAsk) (wire.LogAnswer, error) {
	t := r.topics[w.Topic]
	if t == nil {
		return wire.LogAnswer{}, &SourceError{Source: r.options.Hosts.Self().Name, Reason: "unknown topic " + w.Topic}
	}
	r.mu.Lock()
	r.delegator.RecordRequest(r.options.Clock.Now())
	r.mu.Unlock()
	state, records, next := t.awaitChanges(ctx, w)
	answer := wire.LogAnswer{State: state, Next: next}
	var err error
	if len(records) > 0 {
		if answer.Records, answer.Packed, err = encoder.LogRecords(records); err != nil {
			return wire.LogAnswer{}, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.options.Clock.Since(r.lastRead)
	answer.Lost, answer.Outages, answer.Age = !r.lostAt.IsZero(), r.outages, int(age.Milliseconds())
	return answer, nil
}

// await waits for what w asks for, as long as w allows.
func (t *Topic) awaitChanges(ctx context.Context, w wire.LogAsk) (state int, records []tailer.Record, next uint64) {
	end := t.relayer.options.Clock.After(time.Duration(w.Wait) * time.Millisecond)
	for {
		changed := t.replica.Changed()
		state, records, next = t.snapshot(w)
		if state == stateExpired || len(records) > 0 || w.Whole && state == stateKnown {
			return state, records, next
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state, records, next
		case <-end:
			return state, records, next
		}
	}
}

func (t *Topic) snapshot(w wire.LogAsk) (state int, records []tailer.Record, next uint64) {
	if !t.replica.IsListed() {
		return stateUnknown, nil, 0
	}
	if w.Whole {
		records, next = t.replica.All()
		return stateKnown, records, next
	}
	records, next, ok := t.replica.Since(w.From)
	if !ok {
		return stateExpired, nil, 0
	}
	return stateKnown, records, next
}
