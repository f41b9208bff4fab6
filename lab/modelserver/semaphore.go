package modelserver

import (
	"context"
	"sync"
)

// prioritySemaphore limits concurrent requests and serves waiters by priority, first come first served within one.
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

func newPrioritySemaphore(capacity int) *prioritySemaphore {
	return &prioritySemaphore{capacity: capacity}
}

func (p *prioritySemaphore) counts() (acquired, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.acquired, len(p.waiting)
}

func (p *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	p.mu.Lock()
	if p.acquired < p.capacity {
		p.acquired++
		p.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	p.insert(w)
	p.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		p.cancelWait(w)
		return ctx.Err()
	}
}

func (p *prioritySemaphore) insert(w *waiter) {
	i := len(p.waiting)
	for i > 0 && p.waiting[i-1].priority < w.priority {
		i--
	}
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[i+1:], p.waiting[i:])
	p.waiting[i] = w
}

func (p *prioritySemaphore) cancelWait(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.waiting {
		if o == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	p.releaseToNext()
}

func (p *prioritySemaphore) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseToNext()
}

// releaseToNext passes a released slot to the first waiter, if there is one. The caller must hold mu.
func (p *prioritySemaphore) releaseToNext() {
	if len(p.waiting) == 0 {
		p.acquired--
		return
	}
	w := p.waiting[0]
	p.waiting = p.waiting[1:]
	close(w.granted)
}
