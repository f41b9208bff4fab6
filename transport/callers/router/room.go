package router

import (
	"context"
	"iter"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/evictor"
)

// roomCheckInterval is the time between two searches for stalled bodies while a request waits for room. It is short against the time
// after which a body counts as stalled.
const roomCheckInterval = evictor.Grace / 5

// StalledBodyError is the cause of the contexts of requests whose body made no progress while others needed its memory.
type StalledBodyError struct{}

func (e *StalledBodyError) Error() string {
	return "router: unable to wait for the rest of the request body: it makes no progress, and others need its memory"
}

// room is the memory for the bodies of all requests. While a request waits for room, bodies that make no progress give theirs up.
type room struct {
	clock clockwork.Clock
	limit int64
	mu    sync.Mutex
	used  int64
	// waiting has the requests for room in the order in which they get it: small bodies first, as they delay large ones only little.
	waiting []*roomRequest
	// arriving are the bodies that are being read.
	arriving map[*arrival]bool
}

// roomRequest is a request that waits for room.
type roomRequest struct {
	bytes int64
	// size is bytes and the memory that the body has already.
	size    int64
	granted chan struct{}
}

// arrival is a body that is being read.
type arrival struct {
	room     *room
	progress evictor.Progress
	// bytes is the memory that it has.
	bytes int64
	// cancel ends the reading.
	cancel context.CancelCauseFunc
	// isWaiting is set while the host does not read the body because there is no room.
	isWaiting bool
	// hasGivenUp is set once it has been selected to give up its memory.
	hasGivenUp bool
}

func newRoom(limit int64, clock clockwork.Clock) *room {
	return &room{clock: clock, limit: limit, arriving: make(map[*arrival]bool)}
}

// TryAcquire takes n bytes if there are enough that no other request waits for.
func (rm *room) TryAcquire(n int64) bool {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	return rm.tryAcquire(n, n)
}

// tryAcquire takes n bytes for a body that will have size bytes. Smaller ones have precedence over waiting ones. The caller holds mu.
func (rm *room) tryAcquire(n, size int64) bool {
	if rm.used+n > rm.limit || len(rm.waiting) > 0 && rm.waiting[0].size <= size {
		return false
	}
	rm.used += n
	return true
}

// Acquire waits for n bytes, for a body that will have size bytes, until ctx is done. Meanwhile, stalled bodies give up their memory.
func (rm *room) Acquire(ctx context.Context, n, size int64) error {
	rm.mu.Lock()
	if rm.tryAcquire(n, size) {
		rm.mu.Unlock()
		return nil
	}
	request := &roomRequest{bytes: n, size: size, granted: make(chan struct{})}
	i := slices.IndexFunc(rm.waiting, func(other *roomRequest) bool { return other.size > size })
	if i < 0 {
		i = len(rm.waiting)
	}
	rm.waiting = slices.Insert(rm.waiting, i, request)
	rm.reclaim()
	rm.mu.Unlock()
	for {
		select {
		case <-request.granted:
			return nil
		case <-rm.clock.After(roomCheckInterval):
			rm.mu.Lock()
			if len(rm.waiting) > 0 && rm.waiting[0] == request {
				rm.reclaim()
			}
			rm.mu.Unlock()
		case <-ctx.Done():
			return rm.withdraw(ctx, request)
		}
	}
}

// withdraw ends the wait of a request. It returns nil if the request was granted at the same time.
func (rm *room) withdraw(ctx context.Context, request *roomRequest) error {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	i := slices.Index(rm.waiting, request)
	if i < 0 {
		return nil
	}
	rm.waiting = slices.Delete(rm.waiting, i, i+1)
	rm.grant()
	return context.Cause(ctx)
}

// Release gives n bytes back.
func (rm *room) Release(n int64) {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.used -= n
	rm.grant()
}

// grant gives the free bytes to those who wait for them. The caller holds mu.
func (rm *room) grant() {
	for len(rm.waiting) > 0 && rm.used+rm.waiting[0].bytes <= rm.limit {
		rm.used += rm.waiting[0].bytes
		close(rm.waiting[0].granted)
		rm.waiting = rm.waiting[1:]
	}
}

// reclaim makes stalled bodies give up as much memory as the first waiting request lacks. The caller holds mu.
func (rm *room) reclaim() {
	if len(rm.waiting) == 0 {
		return
	}
	lacking := rm.used + rm.waiting[0].bytes - rm.limit
	for a := range rm.arriving {
		if a.hasGivenUp {
			lacking -= a.bytes
		}
	}
	now := rm.clock.Now()
	for lacking > 0 {
		a, ok := evictor.LongestStalled(rm.progress(), now)
		if !ok {
			return
		}
		a.hasGivenUp = true
		a.cancel(&StalledBodyError{})
		lacking -= a.bytes
	}
}

// progress returns the progress of all bodies that have memory to give up. The caller holds mu.
func (rm *room) progress() iter.Seq2[*arrival, evictor.Progress] {
	return func(yield func(*arrival, evictor.Progress) bool) {
		for a := range rm.arriving {
			if a.bytes > 0 && !a.isWaiting && !a.hasGivenUp && !yield(a, a.progress) {
				return
			}
		}
	}
}

// begin registers a body that is being read into n bytes of memory.
func (rm *room) begin(n int64, cancel context.CancelCauseFunc) *arrival {
	a := &arrival{room: rm, bytes: n, cancel: cancel, progress: evictor.Progress{Phase: evictor.Receiving, Since: rm.clock.Now()}}
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.arriving[a] = true
	return a
}

// receive counts n bytes that have arrived.
func (a *arrival) receive(n int) {
	now := a.room.clock.Now()
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	a.progress.LastByte = now
	a.progress.Bytes += int64(n)
}

// acquire waits for n more bytes of memory until ctx is done. The body is not read meanwhile, so the time does not count.
func (a *arrival) acquire(ctx context.Context, n int64) error {
	start := a.room.clock.Now()
	a.room.mu.Lock()
	a.isWaiting = true
	size := a.bytes + n
	a.room.mu.Unlock()
	err := a.room.Acquire(ctx, n, size)
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	a.isWaiting = false
	waited := a.room.clock.Now().Sub(start)
	a.progress.Since = a.progress.Since.Add(waited)
	a.progress.LastByte = a.progress.LastByte.Add(waited)
	if err == nil {
		a.bytes += n
	}
	return err
}

// end ends the reading. It returns a *StalledBodyError if the body was to give up its memory.
func (a *arrival) end() error {
	a.room.mu.Lock()
	defer a.room.mu.Unlock()
	delete(a.room.arriving, a)
	if a.hasGivenUp {
		return &StalledBodyError{}
	}
	return nil
}
