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
	maxBatchEntries = 500
	// retryPause is the time between appends while the log fails.
	retryDelay = 200 * time.Millisecond
	// idleTime is how long a stream is followed after its last use by a host that is not its home.
	idleTimeout = 2 * time.Minute
	// keptBytes bounds the kept answers of one stream.
	maxKeptBytes = 256 << 10
	// maxKept is the largest answer that is kept.
	maxAnswerBytes = 16 << 10
)

// pending is a claim that waits for its append.
type pendingClaim struct {
	entry claimer.Entry
	err   chan error
}

// book is one stream of claims at its home.
type claimStream struct {
	options       Options
	name          string
	ledger        *claimer.Ledger
	follower      *follower.Follower[claimer.Payload]
	mu            sync.Mutex
	queuedClaims  []*pendingClaim
	queuedEntries []claimer.Entry
	inFlight      int
	wake          chan struct{}
	kept          map[claimer.Digest]Answer
	keptOrder     []claimer.Digest
	keptSize      int
	keptChanged   chan struct{}
	lastUsed      time.Time
	stop          context.CancelFunc
}

func newClaimStream(stream string, o Options) *claimStream {
	ledger := claimer.NewLedger(o.Horizon)
	codec := follower.Codec[claimer.Payload]{Encode: encoder.OnceRecord, Decode: encoder.OncePayload}
	return &claimStream{
		options:     o,
		name:        stream,
		ledger:      ledger,
		follower:    follower.New[claimer.Payload](stream, o.Log, codec, ledger, o.Clock, o.Logs),
		wake:        make(chan struct{}, 1),
		kept:        make(map[claimer.Digest]Answer),
		keptChanged: make(chan struct{}),
	}
}

func (b *claimStream) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { b.follower.Run(ctx) })
	if b.options.CheckpointInterval > 0 {
		k := &follower.Checkpointer[claimer.Payload]{
			Follower:   b.follower,
			Interval:   b.options.CheckpointInterval,
			IsOwner:    func() bool { return b.options.IsOwner(b.name) },
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
			b.sleep(ctx, b.flush(ctx))
		}
	}
}

func (b *claimStream) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-b.options.Clock.After(d):
	}
}

func (b *claimStream) checkpoint(upto uint64) []claimer.Payload {
	parts := b.ledger.Checkpoint(upto)
	payloads := make([]claimer.Payload, len(parts))
	for i := range parts {
		payloads[i].Checkpoint = &parts[i]
	}
	return payloads
}

func (b *claimStream) markUsed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastUsed = b.options.Clock.Now()
}

// isIdle tells whether nothing waits here and nobody has asked for idleTime, which is longer than any wait.
func (b *claimStream) isIdle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queuedClaims)+len(b.queuedEntries)+b.inFlight == 0 && now.Sub(b.lastUsed) > idleTimeout
}

func (b *claimStream) wakeFlusher() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *claimStream) keys() int {
	n := 0
	b.follower.View(func(follower.Position) { n = b.ledger.Len() })
	return n
}

func (b *claimStream) claim(ctx context.Context, e claimer.Entry) (claimer.Outcome, error) {
	o, held, err := b.prepare(ctx, e)
	if err != nil || held {
		return o, err
	}
	defer b.follower.View(func(follower.Position) { b.ledger.Forget(e.ID) })
	p := &pendingClaim{entry: e, err: make(chan error, 1)}
	b.mu.Lock()
	b.queuedClaims = append(b.queuedClaims, p)
	b.mu.Unlock()
	b.wakeFlusher()
	return b.await(ctx, p)
}

// prepare waits until the stream is read. A key that is held by then loses without an append.
func (b *claimStream) prepare(ctx context.Context, e claimer.Entry) (o claimer.Outcome, held bool, err error) {
	err = b.follower.Await(ctx, func(p follower.Position) bool {
		if !p.IsComplete || !p.IsCaughtUp {
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
func (b *claimStream) await(ctx context.Context, p *pendingClaim) (claimer.Outcome, error) {
	for {
		var o claimer.Outcome
		var found bool
		changed := b.follower.View(func(follower.Position) { o, found = b.ledger.Outcome(p.entry.ID) })
		if found {
			return o, nil
		}
		select {
		case <-changed:
		case err := <-p.err:
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
func (b *claimStream) withdraw(p *pendingClaim) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, o := range b.queuedClaims {
		if o == p {
			b.queuedClaims = append(b.queuedClaims[:i], b.queuedClaims[i+1:]...)
			return true
		}
	}
	return false
}

// enqueue queues an entry that is appended until it certainly stands in the log. Appending it twice does no harm.
func (b *claimStream) enqueue(e claimer.Entry) {
	b.mu.Lock()
	b.queuedEntries = append(b.queuedEntries, e)
	b.mu.Unlock()
	b.wakeFlusher()
}

// flush appends what is queued and returns how long to wait before the next append.
func (b *claimStream) flush(ctx context.Context) time.Duration {
	claims, durable := b.takeBatch()
	if len(claims)+len(durable) == 0 {
		return 0
	}
	entries := durable
	for _, p := range claims {
		entries = append(entries, p.entry)
	}
	err := b.follower.Append(ctx, claimer.Payload{Entries: entries})
	b.completeAppend(claims, durable, err)
	if err != nil {
		eventer.Warn(b.options.Logs, eventer.AppendDeferred, "stream", b.name, "entries", len(durable), "error", err.Error())
		return retryDelay
	}
	return b.options.AppendInterval
}

func (b *claimStream) takeBatch() ([]*pendingClaim, []claimer.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queuedEntries), maxBatchEntries)
	durable := append([]claimer.Entry(nil), b.queuedEntries[:n]...)
	b.queuedEntries = b.queuedEntries[n:]
	m := min(len(b.queuedClaims), maxBatchEntries)
	claims := append([]*pendingClaim(nil), b.queuedClaims[:m]...)
	b.queuedClaims = b.queuedClaims[m:]
	b.inFlight = len(durable)
	return claims, durable
}

// settle ends claims whose append certainly failed, and queues durable entries again unless they certainly stand.
// Claims of an append with an unknown outcome go on waiting for their verdict; they are never appended again.
func (b *claimStream) completeAppend(claims []*pendingClaim, durable []claimer.Entry, err error) {
	b.mu.Lock()
	b.inFlight = 0
	if err != nil {
		b.queuedEntries = append(durable, b.queuedEntries...)
	}
	more := len(b.queuedClaims)+len(b.queuedEntries) > 0
	b.mu.Unlock()
	if more {
		b.wakeFlusher()
	}
	if err == nil {
		return
	}
	for _, p := range claims {
		if isNotAppended(err) {
			p.err <- &NotClaimedError{Reason: err.Error()}
		} else if !b.follower.IsReachable() {
			p.err <- &UnknownClaimError{}
		}
	}
}

// drain waits until no durable entry is queued or ctx ends.
func (b *claimStream) drain(ctx context.Context) {
	ticker := b.options.Clock.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		b.mu.Lock()
		left := len(b.queuedEntries) + b.inFlight
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

func (b *claimStream) keep(key claimer.Digest, a Answer) {
	if len(a.Body) > maxAnswerBytes {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.kept[key]; ok {
		return
	}
	b.kept[key] = a
	b.keptOrder = append(b.keptOrder, key)
	b.keptSize += len(a.Body)
	for b.keptSize > maxKeptBytes {
		oldest := b.keptOrder[0]
		b.keptOrder = b.keptOrder[1:]
		b.keptSize -= len(b.kept[oldest].Body)
		delete(b.kept, oldest)
	}
	close(b.keptChanged)
	b.keptChanged = make(chan struct{})
}

func (b *claimStream) keptAnswer(key claimer.Digest) (Answer, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, ok := b.kept[key]
	return a, ok, b.keptChanged
}

func (b *claimStream) join(ctx context.Context, key claimer.Digest) (State, Answer) {
	for {
		a, ok, keptNew := b.keptAnswer(key)
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
