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

func (s *prioritySemaphore) counts() (acquired, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acquired, len(s.waiting)
}

func (s *prioritySemaphore) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.acquired < s.capacity {
		s.acquired++
		s.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	s.insert(w)
	s.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

func (s *prioritySemaphore) insert(w *waiter) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority < w.priority {
		i--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[i+1:], s.waiting[i:])
	s.waiting[i] = w
}

func (s *prioritySemaphore) cancelWait(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, o := range s.waiting {
		if o == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
	s.releaseToNext()
}

func (s *prioritySemaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseToNext()
}

// releaseToNext passes a released slot to the first waiter, if there is one. The caller must hold mu.
func (s *prioritySemaphore) releaseToNext() {
	if len(s.waiting) == 0 {
		s.acquired--
		return
	}
	w := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(w.granted)
}
