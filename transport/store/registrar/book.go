package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/follower"
)

const (
	// maxBatch bounds the entries of one append.
	maxBatch = 500
	// retryPause is the time between appends while the log fails.
	retryPause = 200 * time.Millisecond
	// idleTime is how long a stream is followed after its last use by a host that is not its home.
	idleTime = 2 * time.Minute
	// keptBytes bounds the kept answers of one stream.
	keptBytes = 256 << 10
	// maxKept is the largest answer that is kept.
	maxKept = 16 << 10
)

// pending is a claim that waits for its append.
type pending struct {
	entry  claimer.Entry
	failed chan error
}

// book is one stream of claims at its home.
type book struct {
	options  Options
	stream   string
	ledger   *claimer.Ledger
	follower *follower.Follower[claimer.Payload]
	mu       sync.Mutex
	claims   []*pending
	durable  []claimer.Entry
	sending  int
	wake     chan struct{}
	kept     map[claimer.Digest]Answer
	order    []claimer.Digest
	size     int
	keptNew  chan struct{}
	used     time.Time
	stop     context.CancelFunc
}

func newBook(stream string, o Options) *book {
	ledger := claimer.NewLedger(o.Horizon)
	codec := follower.Codec[claimer.Payload]{Encode: encoder.EncodeOnceRecord, Decode: encoder.DecodeOnceRecord}
	return &book{
		options:  o,
		stream:   stream,
		ledger:   ledger,
		follower: follower.New[claimer.Payload](stream, o.Log, codec, ledger, o.Clock, o.Logs),
		wake:     make(chan struct{}, 1),
		kept:     make(map[claimer.Digest]Answer),
		keptNew:  make(chan struct{}),
	}
}

func (b *book) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { b.follower.Run(ctx) })
	if b.options.Carry > 0 {
		k := &follower.Keeper[claimer.Payload]{
			Follower:   b.follower,
			Period:     b.options.Carry,
			IsHome:     func() bool { return b.options.IsHome(b.stream) },
			Checkpoint: b.checkpoint,
			Clock:      b.options.Clock,
		}
		wait.Go(func() { k.Run(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
			b.pause(ctx, b.flush(ctx))
		}
	}
}

func (b *book) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-b.options.Clock.After(d):
	}
}

func (b *book) checkpoint(upto uint64) []claimer.Payload {
	parts := b.ledger.Checkpoint(upto)
	payloads := make([]claimer.Payload, len(parts))
	for i := range parts {
		payloads[i].Checkpoint = &parts[i]
	}
	return payloads
}

func (b *book) use() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used = b.options.Clock.Now()
}

// isIdle tells whether nothing waits here and nobody has asked for idleTime, which is longer than any wait.
func (b *book) isIdle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.claims)+len(b.durable)+b.sending == 0 && now.Sub(b.used) > idleTime
}

func (b *book) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *book) keys() int {
	n := 0
	b.follower.View(func(follower.Position) { n = b.ledger.Len() })
	return n
}

func (b *book) claim(ctx context.Context, e claimer.Entry) (claimer.Outcome, error) {
	o, held, err := b.prepare(ctx, e)
	if err != nil || held {
		return o, err
	}
	defer b.follower.View(func(follower.Position) { b.ledger.Forget(e.ID) })
	p := &pending{entry: e, failed: make(chan error, 1)}
	b.mu.Lock()
	b.claims = append(b.claims, p)
	b.mu.Unlock()
	b.signal()
	return b.await(ctx, p)
}

// prepare waits until the stream is read. A key that is held by then loses without an append.
func (b *book) prepare(ctx context.Context, e claimer.Entry) (o claimer.Outcome, held bool, err error) {
	err = b.follower.Await(ctx, func(p follower.Position) bool {
		if !p.Whole || !p.CaughtUp {
			return false
		}
		o.Holder, held = b.ledger.Holder(e.Key)
		if !held {
			b.ledger.Watch(e.ID)
		}
		return true
	})
	if err != nil {
		return o, false, &NotClaimedError{Reason: "the stream of the key is not read yet"}
	}
	o.Verdict = claimer.Lost
	if held && o.Holder.Fingerprint != e.Fingerprint {
		o.Verdict = claimer.Mismatch
	}
	return o, held, nil
}

// await waits for the verdict of a claim that has been queued.
func (b *book) await(ctx context.Context, p *pending) (claimer.Outcome, error) {
	for {
		var o claimer.Outcome
		var found bool
		changed := b.follower.View(func(follower.Position) { o, found = b.ledger.Outcome(p.entry.ID) })
		if found {
			return o, nil
		}
		select {
		case <-changed:
		case err := <-p.failed:
			return o, err
		case <-ctx.Done():
			if b.withdraw(p) {
				return o, &NotClaimedError{Reason: "the log is slow"}
			}
			return o, &UnknownClaimError{}
		}
	}
}

// withdraw takes a claim back that has not been sent.
func (b *book) withdraw(p *pending) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, o := range b.claims {
		if o == p {
			b.claims = append(b.claims[:i], b.claims[i+1:]...)
			return true
		}
	}
	return false
}

// enqueue queues an entry that is appended until it certainly stands in the log. Appending it twice does no harm.
func (b *book) enqueue(e claimer.Entry) {
	b.mu.Lock()
	b.durable = append(b.durable, e)
	b.mu.Unlock()
	b.signal()
}

// flush appends what is queued and returns how long to wait before the next append.
func (b *book) flush(ctx context.Context) time.Duration {
	claims, durable := b.take()
	if len(claims)+len(durable) == 0 {
		return 0
	}
	entries := durable
	for _, p := range claims {
		entries = append(entries, p.entry)
	}
	err := b.follower.Append(ctx, claimer.Payload{Entries: entries})
	b.settle(claims, durable, err)
	if err != nil {
		eventer.Warn(b.options.Logs, eventer.AppendDeferred, "stream", b.stream, "entries", len(durable), "error", err.Error())
		return retryPause
	}
	return b.options.Interval
}

func (b *book) take() ([]*pending, []claimer.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.durable), maxBatch)
	durable := append([]claimer.Entry(nil), b.durable[:n]...)
	b.durable = b.durable[n:]
	m := min(len(b.claims), maxBatch)
	claims := append([]*pending(nil), b.claims[:m]...)
	b.claims = b.claims[m:]
	b.sending = len(durable)
	return claims, durable
}

// settle ends claims whose append certainly failed, and queues durable entries again unless they certainly stand.
// Claims of an append with an unknown outcome go on waiting for their verdict; they are never appended again.
func (b *book) settle(claims []*pending, durable []claimer.Entry, err error) {
	b.mu.Lock()
	b.sending = 0
	if err != nil {
		b.durable = append(durable, b.durable...)
	}
	more := len(b.claims)+len(b.durable) > 0
	b.mu.Unlock()
	if more {
		b.signal()
	}
	if err == nil {
		return
	}
	for _, p := range claims {
		if isDefinite(err) {
			p.failed <- &NotClaimedError{Reason: err.Error()}
		} else if !b.follower.Reachable() {
			p.failed <- &UnknownClaimError{}
		}
	}
}

// drain waits until no durable entry is queued or ctx ends.
func (b *book) drain(ctx context.Context) {
	ticker := b.options.Clock.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		left := len(b.durable) + b.sending
		b.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (b *book) keep(key claimer.Digest, a Answer) {
	if len(a.Body) > maxKept {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.kept[key]; ok {
		return
	}
	b.kept[key] = a
	b.order = append(b.order, key)
	b.size += len(a.Body)
	for b.size > keptBytes {
		oldest := b.order[0]
		b.order = b.order[1:]
		b.size -= len(b.kept[oldest].Body)
		delete(b.kept, oldest)
	}
	close(b.keptNew)
	b.keptNew = make(chan struct{})
}

func (b *book) answer(key claimer.Digest) (Answer, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.kept[key]
	return a, ok, b.keptNew
}

func (b *book) join(ctx context.Context, key claimer.Digest) (State, Answer) {
	for {
		a, ok, keptNew := b.answer(key)
		if ok {
			return Kept, a
		}
		var h claimer.Holding
		var held bool
		changed := b.follower.View(func(follower.Position) { h, held = b.ledger.Holder(key) })
		switch {
		case !held:
			return Unknown, Answer{}
		case h.Done:
			return Done, Answer{Status: h.Status}
		}
		select {
		case <-changed:
		case <-keptNew:
		case <-ctx.Done():
			return Running, Answer{}
		}
	}
}
