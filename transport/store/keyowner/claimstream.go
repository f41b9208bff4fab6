package keyowner

import (
	"context"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/follower"
)

const (
	// maxBatchEntries bounds the entries of each kind in one append.
	maxBatchEntries = 500
	// retryDelay is the delay before the next append after a failed one.
	retryDelay = 200 * time.Millisecond
	// idleTimeout is how long a host that does not own a stream follows it after its last use.
	idleTimeout = 2 * time.Minute
	// maxKeptBytes bounds the total size of the kept answers of one stream.
	maxStoredBytes = 256 << 10
	// maxAnswerBytes is the size of the largest answer that is kept.
	maxAnswerBytes = 16 << 10
)

// pendingClaim is a claim whose verdict is not known yet.
type pendingClaim struct {
	entry claimer.Entry
	err   chan error
}

// claimStream is one stream of claims as handled by its owner.
type claimStream struct {
	options        Options
	name           string
	ledger         *claimer.Ledger
	follower       *follower.Follower[claimer.Payload]
	mu             sync.Mutex
	queuedClaims   []*pendingClaim
	queuedEntries  []claimer.Entry
	inFlight       int
	wake           chan struct{}
	answers        map[claimer.Digest]Answer
	answerOrder    []claimer.Digest
	answerBytes    int
	answersChanged chan struct{}
	lastUsed       time.Time
	stop           context.CancelFunc
}

func newClaimStream(stream string, o Options) *claimStream {
	ledger := claimer.NewLedger(o.Retention)
	codec := follower.Codec[claimer.Payload]{Encode: encoder.EncodeOnceRecord, Decode: encoder.DecodeOnceRecord}
	return &claimStream{
		options:        o,
		name:           stream,
		ledger:         ledger,
		follower:       follower.New[claimer.Payload](stream, o.Log, codec, ledger, o.Clock, o.Logs),
		wake:           make(chan struct{}, 1),
		answers:        make(map[claimer.Digest]Answer),
		answersChanged: make(chan struct{}),
	}
}

func (s *claimStream) run(ctx context.Context) {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { s.follower.Run(ctx) })
	if s.options.CheckpointInterval > 0 {
		c := &follower.Checkpointer[claimer.Payload]{
			Follower:   s.follower,
			Interval:   s.options.CheckpointInterval,
			IsOwner:    func() bool { return s.options.IsOwner(s.name) },
			Checkpoint: s.checkpoint,
			Clock:      s.options.Clock,
		}
		wait.Go(func() { c.Run(ctx) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.sleep(ctx, s.flush(ctx))
		}
	}
}

func (s *claimStream) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-s.options.Clock.After(d):
	}
}

func (s *claimStream) checkpoint(upto uint64) []claimer.Payload {
	parts := s.ledger.Checkpoint(upto)
	payloads := make([]claimer.Payload, len(parts))
	for i := range parts {
		payloads[i].Checkpoint = &parts[i]
	}
	return payloads
}

func (s *claimStream) markUsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = s.options.Clock.Now()
}

// isIdle reports whether nothing is queued and the stream was not used for idleTimeout, which exceeds any caller's wait.
func (s *claimStream) isIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queuedClaims)+len(s.queuedEntries)+s.inFlight == 0 && now.Sub(s.lastUsed) > idleTimeout
}

func (s *claimStream) wakeFlusher() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *claimStream) keys() int {
	n := 0
	s.follower.View(func(follower.Position) { n = s.ledger.Len() })
	return n
}

func (s *claimStream) claim(ctx context.Context, e claimer.Entry) (claimer.Outcome, error) {
	o, held, err := s.prepare(ctx, e)
	if err != nil || held {
		return o, err
	}
	defer s.follower.View(func(follower.Position) { s.ledger.Forget(e.ID) })
	p := &pendingClaim{entry: e, err: make(chan error, 1)}
	s.mu.Lock()
	s.queuedClaims = append(s.queuedClaims, p)
	s.mu.Unlock()
	s.wakeFlusher()
	return s.await(ctx, p)
}

// prepare waits until the stream has been read to its end. A claim of a key that is held already loses without an append.
func (s *claimStream) prepare(ctx context.Context, e claimer.Entry) (o claimer.Outcome, held bool, err error) {
	err = s.follower.Await(ctx, func(p follower.Position) bool {
		if !p.IsComplete || !p.IsCaughtUp {
			return false
		}
		o.Holder, held = s.ledger.Holder(e.Key)
		if !held {
			s.ledger.Watch(e.ID)
		}
		return true
	})
	if err != nil {
		return o, false, &NotClaimedError{Reason: "the stream of the key has not been read to its end yet"}
	}
	o.Verdict = claimer.Lost
	if held && o.Holder.Fingerprint != e.Fingerprint {
		o.Verdict = claimer.Mismatch
	}
	return o, held, nil
}

// await waits for the verdict on a queued claim.
func (s *claimStream) await(ctx context.Context, p *pendingClaim) (claimer.Outcome, error) {
	for {
		var o claimer.Outcome
		var found bool
		changed := s.follower.View(func(follower.Position) { o, found = s.ledger.Outcome(p.entry.ID) })
		if found {
			return o, nil
		}
		select {
		case <-changed:
		case err := <-p.err:
			return o, err
		case <-ctx.Done():
			if s.withdraw(p) {
				return o, &NotClaimedError{Reason: "the log did not accept an append in time"}
			}
			return o, &UnknownClaimError{}
		}
	}
}

// withdraw removes a claim from the queue and reports false if it has been sent already.
func (s *claimStream) withdraw(p *pendingClaim) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, q := range s.queuedClaims {
		if q == p {
			s.queuedClaims = append(s.queuedClaims[:i], s.queuedClaims[i+1:]...)
			return true
		}
	}
	return false
}

// enqueue queues an entry, whose append is retried until it certainly succeeded. Duplicates of it are harmless.
func (s *claimStream) enqueue(e claimer.Entry) {
	s.mu.Lock()
	s.queuedEntries = append(s.queuedEntries, e)
	s.mu.Unlock()
	s.wakeFlusher()
}

// flush appends the queued entries and returns the delay before the next append.
func (s *claimStream) flush(ctx context.Context) time.Duration {
	claims, retryable := s.takeBatch()
	if len(claims)+len(retryable) == 0 {
		return 0
	}
	entries := retryable
	for _, p := range claims {
		entries = append(entries, p.entry)
	}
	err := s.follower.Append(ctx, claimer.Payload{Entries: entries})
	s.completeAppend(claims, retryable, err)
	if err != nil {
		eventlogger.Warn(s.options.Logs, eventlogger.AppendDeferred, "stream", s.name, "entries", len(retryable), "error", err.Error())
		return retryDelay
	}
	return s.options.AppendInterval
}

func (s *claimStream) takeBatch() ([]*pendingClaim, []claimer.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queuedEntries), maxBatchEntries)
	retryable := append([]claimer.Entry(nil), s.queuedEntries[:n]...)
	s.queuedEntries = s.queuedEntries[n:]
	m := min(len(s.queuedClaims), maxBatchEntries)
	claims := append([]*pendingClaim(nil), s.queuedClaims[:m]...)
	s.queuedClaims = s.queuedClaims[m:]
	s.inFlight = len(retryable)
	return claims, retryable
}

// completeAppend fails the claims whose append certainly failed, and queues the retryable entries again unless the
// append succeeded. Claims of an append with an unknown outcome are never resent; they keep waiting for their
// verdict, or fail with an *UnknownClaimError if the log is unreachable.
func (s *claimStream) completeAppend(claims []*pendingClaim, retryable []claimer.Entry, err error) {
	s.mu.Lock()
	s.inFlight = 0
	if err != nil {
		s.queuedEntries = append(retryable, s.queuedEntries...)
	}
	more := len(s.queuedClaims)+len(s.queuedEntries) > 0
	s.mu.Unlock()
	if more {
		s.wakeFlusher()
	}
	if err == nil {
		return
	}
	for _, p := range claims {
		if isNotAppended(err) {
			p.err <- &NotClaimedError{Reason: err.Error()}
		} else if !s.follower.IsReachable() {
			p.err <- &UnknownClaimError{}
		}
	}
}

// drain waits until no entry is queued by enqueue any more or ctx is done.
func (s *claimStream) drain(ctx context.Context) {
	ticker := s.options.Clock.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		remaining := len(s.queuedEntries) + s.inFlight
		s.mu.Unlock()
		if remaining == 0 {
			return
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (s *claimStream) storeAnswer(key claimer.Digest, a Answer) {
	if len(a.Body) > maxAnswerBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.answers[key]; ok {
		return
	}
	s.answers[key] = a
	s.answerOrder = append(s.answerOrder, key)
	s.answerBytes += len(a.Body)
	for s.answerBytes > maxStoredBytes {
		oldest := s.answerOrder[0]
		s.answerOrder = s.answerOrder[1:]
		s.answerBytes -= len(s.answers[oldest].Body)
		delete(s.answers, oldest)
	}
	close(s.answersChanged)
	s.answersChanged = make(chan struct{})
}

func (s *claimStream) storedAnswer(key claimer.Digest) (Answer, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.answers[key]
	return a, ok, s.answersChanged
}

func (s *claimStream) join(ctx context.Context, key claimer.Digest) (State, Answer) {
	for {
		a, ok, keptChanged := s.storedAnswer(key)
		if ok {
			return Stored, a
		}
		var h claimer.Holding
		var held bool
		changed := s.follower.View(func(follower.Position) { h, held = s.ledger.Holder(key) })
		switch {
		case !held:
			return Unknown, Answer{}
		case h.Done:
			return Done, Answer{Status: h.Status}
		}
		select {
		case <-changed:
		case <-keptChanged:
		case <-ctx.Done():
			return Running, Answer{}
		}
	}
}
