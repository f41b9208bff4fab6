package registrar

import (
	"context"
	"sync"
)

// batch runs a function for several callers at once. The run that a caller waits for begins after its call.
type batch struct {
	mu   sync.Mutex
	next *run
	// turn is held during a run.
	turn sync.Mutex
}

type run struct {
	done chan struct{}
	err  error
}

// do waits for a run of f that begins after the call. The error is that of f, or of ctx.
func (b *batch) do(ctx context.Context, f func() error) error {
	b.mu.Lock()
	r := b.next
	if r == nil {
		r = &run{done: make(chan struct{})}
		b.next = r
		go b.run(r, f)
	}
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *batch) run(r *run, f func() error) {
	b.turn.Lock()
	defer b.turn.Unlock()
	b.mu.Lock()
	b.next = nil // later callers wait for a later run
	b.mu.Unlock()
	r.err = f()
	close(r.done)
}
