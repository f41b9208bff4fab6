package relayer

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

// States of a topic in an answer.
const (
	stateKnown = iota
	// stateExpired means that some of the requested changes are no longer held.
	stateExpired
	// stateUnknown means that the topic has not been read yet.
	stateUnknown
)

// LogUnreachableError reports a source that cannot reach the log, or could not at some time since its last answer.
type LogUnreachableError struct {
	Source string
	// IsNew is set the first time that an outage is reported. Entries that expired during the outage must not be treated as
	// expired in normal operation, even if the outage is over.
	IsNew bool
	// IsReplaced is set if the next read uses another source.
	IsReplaced bool
	// IsOver is set if the source reaches the log again.
	IsOver bool
}

// MayRetryAtOnce reports whether the next read can succeed without a delay: another source has been chosen, or the source has
// only reported its outage.
func (e *LogUnreachableError) MayRetryAtOnce() bool { return e.IsNew || e.IsReplaced }

func (e *LogUnreachableError) Error() string {
	return "relayer: unable to read the log through " + e.Source + ": it cannot reach the log"
}

// SourceError reports a source whose answer cannot be used.
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
	// lastRead is when the log was last read for this topic.
	lastRead time.Time
	// lastContact is the newest time at which the log is known to have answered a host with what this topic has.
	lastContact time.Time
	// confirmedAt is the latest time by Options.Uptime at which the log is known to have had no newer records than the replica, 0 if it is
	// not known.
	confirmedAt atomic.Int64
	// listingStart is when the listing in progress began, by Options.Uptime.
	listingStart time.Duration
	// listing holds the records of a listing in progress, listingEnd the offset at which it ends.
	listing    []tailer.Record
	listingEnd uint64
	// lastSource is the source that answered last, lastOutages its number of log outages at that time.
	lastSource  string
	lastOutages int
}

var _ tailer.Log = (*Topic)(nil)

func newTopic(r *Relayer, name string, isChange func(string, []byte, []byte) bool) *Topic {
	return &Topic{relayer: r, name: name, replica: replicator.New(isChange)}
}

// Newest returns a page of the newest record of each key. A source returns all of them in one page.
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
	start := r.options.Clock.Now()
	if after == "" {
		t.listingStart = r.options.Uptime.Now()
	}
	page, err := r.options.Log.Newest(ctx, topic, after)
	r.recordRead(start, err)
	if err != nil {
		return page, err
	}
	if after == "" {
		t.listingEnd = page.End
	}
	t.listing = append(t.listing, page.Records...)
	if !page.More || len(page.Records) == 0 {
		t.loadListing(t.listing, t.listingEnd, t.listingStart)
		t.listing = nil
	}
	return page, nil
}

func (t *Topic) listSource(ctx context.Context, s source) (tailer.Page, error) {
	records, next, confirmedAt, err := t.readSource(ctx, s, wire.LogRequest{Topic: t.name, Whole: true}, t.relayer.applyTimeFraction(pollFraction))
	if err != nil {
		return tailer.Page{}, err
	}
	t.loadListing(records, next, confirmedAt)
	return tailer.Page{Records: records, End: next}, nil
}

// Read returns the records from an offset on. A topic that is read without a wait is read at even intervals and so detects
// a failed source; a topic that is read with a wait relies on that.
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
	records, next, confirmedAt, err := t.readSource(ctx, s, wire.LogRequest{Topic: t.name, From: from}, max(wait, r.applyTimeFraction(pollFraction)))
	var unreachable *LogUnreachableError
	var expired *tailer.ExpiredError
	switch {
	case err == nil:
		t.replica.Apply(records, next)
		t.confirm(confirmedAt)
		return records, next, nil
	case errors.As(err, &expired) || ctx.Err() != nil:
		return nil, 0, err
	case errors.As(err, &unreachable) && r.mayReadLog() && !t.mayHaveLapsed():
		return t.readAround(ctx, s, unreachable, from)
	case unreachable != nil && !unreachable.IsNew:
		unreachable.IsReplaced = r.handleSourceOutage(s)
	}
	if unreachable != nil && (unreachable.MayRetryAtOnce() || !r.mayReadLog()) {
		return nil, 0, err
	}
	records, next, logErr := t.readLog(ctx, topic, from, 0)
	if unreachable != nil && logErr == nil {
		r.failSource(s, unreachable.Error()) // only the source is affected: the log rejects it or it has lost its connection
	}
	return records, next, logErr
}

// mayHaveLapsed reports whether the log may have been unreachable for long enough that entries have expired in it.
func (t *Topic) mayHaveLapsed() bool {
	return t.relayer.options.Clock.Since(t.lastContact) >= t.relayer.options.LapseTime
}

// readAround reads the log itself after a source has lost it. Only if that fails, too, is it an outage of the log.
func (t *Topic) readAround(ctx context.Context, s source, outage *LogUnreachableError, from uint64) ([]tailer.Record, uint64, error) {
	r := t.relayer
	records, next, err := t.readLog(ctx, t.name, from, 0)
	var expired *tailer.ExpiredError
	switch isReached := err == nil || errors.As(err, &expired); {
	case isReached && !outage.IsOver:
		r.failSource(s, outage.Error())
	case !isReached && ctx.Err() == nil:
		r.handleSourceOutage(s)
	}
	return records, next, err
}

// awaitReadInterval waits until the log may be read again for this topic.
func (t *Topic) awaitReadInterval(ctx context.Context) {
	clock := t.relayer.options.Clock
	remaining := t.relayer.applyTimeFraction(readFraction) - clock.Since(t.lastRead)
	if remaining <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-clock.After(remaining):
	}
}

func (t *Topic) readLog(ctx context.Context, topic string, from uint64, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	t.lastRead = r.options.Clock.Now()
	start := r.options.Uptime.Now()
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
	t.lastContact = t.lastRead
	t.replica.Apply(records, next)
	t.confirm(start)
	return records, next, nil
}

// loadListing replaces the records by a listing that was the newest as of a time by Options.Uptime, 0 if it is not known. A listing through
// another source may be older than the records that it replaces, so that an earlier confirmation does not apply to it.
func (t *Topic) loadListing(records []tailer.Record, next uint64, at time.Duration) {
	if at < t.ConfirmedAt() {
		t.confirmedAt.Store(int64(at))
	}
	t.replica.LoadListing(records, next)
	t.confirm(at)
}

// confirm records that the replica holds the newest records of the log as of a time by Options.Uptime, 0 if that time is not known.
func (t *Topic) confirm(at time.Duration) {
	if at > time.Duration(t.confirmedAt.Load()) {
		t.confirmedAt.Store(int64(at)) // only the topic's tailer confirms
	}
}

// ConfirmedAt returns the latest time by Options.Uptime at which the log is known to have had no newer records than those that were
// read, 0 if it is not known.
func (t *Topic) ConfirmedAt() time.Duration { return time.Duration(t.confirmedAt.Load()) }

// readSource reads records from a source, and returns since when the log has had no newer ones. The error is a
// *LogUnreachableError, a *tailer.ExpiredError, or the reason why the source cannot be used.
func (t *Topic) readSource(
	ctx context.Context, s source, request wire.LogRequest, wait time.Duration,
) (records []tailer.Record, next uint64, confirmedAt time.Duration, err error) {
	r := t.relayer
	start := r.options.Uptime.Now()
	request.Wait = int(wait.Milliseconds())
	bounded, cancel := context.WithTimeout(ctx, wait+r.applyTimeFraction(graceFraction))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	answer, err := messenger.Call[wire.LogRequest, wire.LogResponse](bounded, r.options.Messenger, s.member.Address, kindLog, request)
	if err != nil {
		if s.ctx.Err() == nil && ctx.Err() == nil {
			r.failSource(s, err.Error())
		}
		return nil, 0, 0, err
	}
	age := time.Duration(answer.Age) * time.Millisecond
	switch {
	case t.isNewOutage(s, answer.Outages):
		return nil, 0, 0, &LogUnreachableError{Source: s.name, IsNew: true, IsOver: !answer.LogUnreachable}
	case answer.LogUnreachable:
		return nil, 0, 0, &LogUnreachableError{Source: s.name}
	case answer.State == stateUnknown || age > r.applyTimeFraction(readFraction+graceFraction):
		// The source may have started to read only with this request; the next answer is expected to be current.
		return nil, 0, 0, &SourceError{Source: s.name, Reason: fmt.Sprintf("its records are %s old", age)}
	case answer.State == stateExpired:
		return nil, 0, 0, &tailer.ExpiredError{Topic: t.name}
	}
	if records, err = encoder.Records(answer.Records, answer.Packed); err != nil {
		r.failSource(s, err.Error())
		return nil, 0, 0, err
	}
	if answer.Confirmed != nil {
		// The request reached the source after start, so this is not later than the source's own time.
		confirmedAt = start - time.Duration(*answer.Confirmed)*time.Millisecond
	}
	if readAt := r.options.Clock.Now().Add(-age); readAt.After(t.lastContact) {
		t.lastContact = readAt
	}
	return records, answer.Next, confirmedAt, nil
}

// isNewOutage reports whether a source has lost its connection to the log since its last answer.
func (t *Topic) isNewOutage(s source, outages int) bool {
	isNew := t.lastSource == s.name && outages != t.lastOutages
	t.lastSource, t.lastOutages = s.name, outages
	return isNew
}

// handleLog returns to another host the records that this host has read.
func (r *Relayer) handleLog(ctx context.Context, w wire.LogRequest) (wire.LogResponse, error) {
	t := r.topics[w.Topic]
	if t == nil {
		return wire.LogResponse{}, &SourceError{Source: r.options.Hosts.Self().Name, Reason: "unknown topic " + w.Topic}
	}
	arrived := r.options.Uptime.Now()
	r.mu.Lock()
	r.selector.RecordRequest(r.options.Clock.Now())
	r.mu.Unlock()
	confirmedAt, state, records, next := t.awaitChanges(ctx, w)
	answer := wire.LogResponse{State: state, Next: next}
	if confirmedAt > 0 {
		// Rounded up: a source never states a later time than its own.
		before := int(math.Ceil(float64(arrived-confirmedAt) / float64(time.Millisecond)))
		answer.Confirmed = &before
	}
	var err error
	if len(records) > 0 {
		if answer.Records, answer.Packed, err = encoder.LogRecords(records); err != nil {
			return wire.LogResponse{}, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.options.Clock.Since(r.lastRead)
	answer.LogUnreachable, answer.Outages, answer.Age = !r.lostAt.IsZero(), r.outages, int(age.Milliseconds())
	return answer, nil
}

// awaitChanges waits until the records that w requests are available, at most for the wait of w. confirmedAt is read before the
// records, so that they are the newest as of that time.
func (t *Topic) awaitChanges(ctx context.Context, w wire.LogRequest) (confirmedAt time.Duration, state int, records []tailer.Record, next uint64) {
	end := t.relayer.options.Clock.After(time.Duration(w.Wait) * time.Millisecond)
	for hasEnded := false; ; {
		changed := t.replica.Changed()
		confirmedAt = t.ConfirmedAt()
		state, records, next = t.snapshot(w)
		if hasEnded || state == stateExpired || len(records) > 0 || w.Whole && state == stateKnown {
			return confirmedAt, state, records, next
		}
		select {
		case <-changed:
		case <-ctx.Done():
			hasEnded = true
		case <-end:
			hasEnded = true
		}
	}
}

func (t *Topic) snapshot(w wire.LogRequest) (state int, records []tailer.Record, next uint64) {
	if !t.replica.IsListed() {
		return stateUnknown, nil, 0
	}
	if w.Whole {
		records, next = t.replica.All()
		return stateKnown, records, next
	}
	records, next, ok := t.replica.ChangesSince(w.From)
	if !ok {
		return stateExpired, nil, 0
	}
	return stateKnown, records, next
}
