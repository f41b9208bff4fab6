package inferrer

import (
	"context"
	"sync"
)

// turnstile lets a number of requests in at a time, those of the highest priority first.
type prioritySemaphore struct {
	mu       sync.Mutex
	capacity int
	acquired int
	waiting  []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newPrioritySemaphore(places int) *prioritySemaphore { return &prioritySemaphore{capacity: places} }

func (t *prioritySemaphore) counts() (inside, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acquired, len(t.waiting)
}

func (t *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	t.mu.Lock()
	if t.acquired < t.capacity {
		t.acquired++
		t.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	t.insert(w)
	t.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		t.cancelWait(w)
		return ctx.Err()
	}
}

func (t *prioritySemaphore) insert(w *waiter) {
	i := len(t.waiting)
	for i > 0 && t.waiting[i-1].priority < w.priority {
		i--
	}
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[i+1:], t.waiting[i:])
	t.waiting[i] = w
}

func (t *prioritySemaphore) cancelWait(w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range t.waiting {
		if o == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
	t.releaseToNext()
}

func (t *prioritySemaphore) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseToNext()
}

// admitNext hands the place of one who left to the first waiter. The caller holds mu.
func (t *prioritySemaphore) releaseToNext() {
	if len(t.waiting) == 0 {
		t.acquired--
		return
	}
	w := t.waiting[0]
	t.waiting = t.waiting[1:]
	close(w.granted)
}
