package inferrer

import (
	"context"
	"sync"
)

// turnstile lets a number of requests in at a time, those of the highest priority first.
type turnstile struct {
	mu      sync.Mutex
	places  int
	inside  int
	waiting []*waiter
}

type waiter struct {
	priority int
	admitted chan struct{}
}

func newTurnstile(places int) *turnstile { return &turnstile{places: places} }

func (t *turnstile) counts() (inside, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inside, len(t.waiting)
}

func (t *turnstile) enter(ctx context.Context, priority int) error {
	t.mu.Lock()
	if t.inside < t.places {
		t.inside++
		t.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	t.insert(w)
	t.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		t.abandon(w)
		return ctx.Err()
	}
}

func (t *turnstile) insert(w *waiter) {
	i := len(t.waiting)
	for i > 0 && t.waiting[i-1].priority < w.priority {
		i--
	}
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[i+1:], t.waiting[i:])
	t.waiting[i] = w
}

func (t *turnstile) abandon(w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range t.waiting {
		if o == w {
			t.waiting = append(t.waiting[:i], t.waiting[i+1:]...)
			return
		}
	}
	t.admitNext()
}

func (t *turnstile) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admitNext()
}

// admitNext hands the place of one who left to the first waiter. The caller holds mu.
func (t *turnstile) admitNext() {
	if len(t.waiting) == 0 {
		t.inside--
		return
	}
	w := t.waiting[0]
	t.waiting = t.waiting[1:]
	close(w.admitted)
}
