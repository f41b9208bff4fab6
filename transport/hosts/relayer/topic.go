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
type LostError struct {
	Source string
	// New is set the first time that an outage is told. What lapsed in it must not be taken for lost in calm times, even if
	// it is over.
	New bool
}

func (e *LostError) Error() string { return "relayer: " + e.Source + " does not reach the log" }

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
	read time.Time
	// listing are the records of a listing under way, and its end.
	listing []tailer.Record
	end     uint64
	// answered is the source that answered last, and outages how often it had lost the log by then.
	answered string
	outages  int
}

var _ tailer.Log = (*Topic)(nil)

func newTopic(r *Relayer, name string, isNews func(string, []byte, []byte) bool) *Topic {
	return &Topic{relayer: r, name: name, replica: replicator.New(isNews)}
}

// Newest returns a page of the newest record of each key. A source tells all of them in one page.
func (t *Topic) Newest(ctx context.Context, topic, after string) (tailer.Page, error) {
	r := t.relayer
	if after == "" {
		r.await(ctx)
		t.listing = nil
		if s := r.choose(); s.name != "" {
			if page, err := t.listFrom(ctx, s); err == nil {
				return page, nil
			}
		}
	}
	begun := r.options.Clock.Now()
	page, err := r.options.Log.Newest(ctx, topic, after)
	r.noteRead(begun, err)
	if err != nil {
		return page, err
	}
	if after == "" {
		t.end = page.End
	}
	t.listing = append(t.listing, page.Records...)
	if !page.More || len(page.Records) == 0 {
		t.replica.LoadListing(t.listing, t.end)
		t.listing = nil
	}
	return page, nil
}

func (t *Topic) listFrom(ctx context.Context, s source) (tailer.Page, error) {
	records, next, err := t.ask(ctx, s, wire.LogRequest{Topic: t.name, Whole: true}, t.relayer.share(askShare))
	if err != nil {
		return tailer.Page{}, err
	}
	t.replica.LoadListing(records, next)
	return tailer.Page{Records: records, End: next}, nil
}

// Read returns the records from an offset on. A topic without a wait is read at once, in even steps, and shows whether the
// source answers; one with a wait relies on that.
func (t *Topic) Read(ctx context.Context, topic string, from uint64, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	s := r.choose()
	if s.name == "" {
		if wait == 0 {
			t.pace(ctx)
		}
		return t.readLog(ctx, topic, from, wait)
	}
	if r.isProbeDue() {
		if records, next, err := t.readLog(ctx, topic, from, 0); err == nil {
			return records, next, nil
		}
	}
	records, next, err := t.ask(ctx, s, wire.LogRequest{Topic: t.name, From: from}, max(wait, r.share(askShare)))
	var lost *LostError
	var expired *tailer.ExpiredError
	switch {
	case err == nil:
		t.replica.Apply(records, next)
		return records, next, nil
	case errors.As(err, &expired) || ctx.Err() != nil:
		return nil, 0, err
	case errors.As(err, &lost) && (lost.New || r.sourceLost(s) || !r.mayTry()):
		return nil, 0, err
	}
	records, next, logErr := t.readLog(ctx, topic, from, 0)
	if lost != nil && logErr == nil {
		r.fail(s, lost.Error()) // the log turns it away, or the way there is cut
	}
	return records, next, logErr
}

// pace waits until the log may be read again for this topic.
func (t *Topic) pace(ctx context.Context) {
	clock := t.relayer.options.Clock
	rest := t.relayer.share(readShare) - clock.Since(t.read)
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
	t.read = r.options.Clock.Now()
	records, next, err := r.options.Log.Read(ctx, topic, from, wait)
	var expired *tailer.ExpiredError
	if errors.As(err, &expired) {
		r.noteRead(t.read, nil)
		return nil, 0, err
	}
	r.noteRead(t.read, err)
	if err != nil {
		return nil, 0, err
	}
	t.replica.Apply(records, next)
	return records, next, nil
}

// ask takes records from a source. The error is a *LostError, a *tailer.ExpiredError, or tells why the source is of no use.
func (t *Topic) ask(ctx context.Context, s source, ask wire.LogRequest, wait time.Duration) ([]tailer.Record, uint64, error) {
	r := t.relayer
	ask.Wait = int(wait.Milliseconds())
	bounded, cancel := context.WithTimeout(ctx, wait+r.share(slackShare))
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	answer, err := messenger.Call[wire.LogRequest, wire.LogResponse](bounded, r.options.Messenger, s.member.Address, kindLog, ask)
	if err != nil {
		if s.ctx.Err() == nil && ctx.Err() == nil {
			r.fail(s, err.Error())
		}
		return nil, 0, err
	}
	age := time.Duration(answer.Age) * time.Millisecond
	switch {
	case t.isNewOutage(s, answer.Outages):
		return nil, 0, &LostError{Source: s.name, New: true}
	case answer.Lost:
		return nil, 0, &LostError{Source: s.name}
	case answer.State == stateUnknown || age > r.share(readShare+slackShare):
		// It may have begun to read only now; from the next time on it is expected to know.
		return nil, 0, &SourceError{Source: s.name, Reason: fmt.Sprintf("what it knows is %s old", age)}
	case answer.State == stateExpired:
		return nil, 0, &tailer.ExpiredError{Topic: t.name}
	}
	records, err := encoder.Records(answer.Records, answer.Packed)
	if err != nil {
		r.fail(s, err.Error())
		return nil, 0, err
	}
	return records, answer.Next, nil
}

// isNewOutage tells whether a source has lost the log since it answered last.
func (t *Topic) isNewOutage(s source, outages int) bool {
	isNew := t.answered == s.name && outages != t.outages
	t.answered, t.outages = s.name, outages
	return isNew
}

// answer tells another host what this one has read.
func (r *Relayer) answer(ctx context.Context, w wire.LogRequest) (wire.LogResponse, error) {
	t := r.topics[w.Topic]
	if t == nil {
		return wire.LogResponse{}, &SourceError{Source: r.options.Hosts.Self().Name, Reason: "unknown topic " + w.Topic}
	}
	r.mu.Lock()
	r.delegator.Asked(r.options.Clock.Now())
	r.mu.Unlock()
	state, records, next := t.await(ctx, w)
	answer := wire.LogResponse{State: state, Next: next}
	var err error
	if len(records) > 0 {
		if answer.Records, answer.Packed, err = encoder.LogRecords(records); err != nil {
			return wire.LogResponse{}, err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	age := r.options.Clock.Since(r.read)
	answer.Lost, answer.Outages, answer.Age = !r.lostAt.IsZero(), r.outages, int(age.Milliseconds())
	return answer, nil
}

// await waits for what w asks for, as long as w allows.
func (t *Topic) await(ctx context.Context, w wire.LogRequest) (state int, records []tailer.Record, next uint64) {
	end := t.relayer.options.Clock.After(time.Duration(w.Wait) * time.Millisecond)
	for {
		changed := t.replica.Changed()
		state, records, next = t.look(w)
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

func (t *Topic) look(w wire.LogRequest) (state int, records []tailer.Record, next uint64) {
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
