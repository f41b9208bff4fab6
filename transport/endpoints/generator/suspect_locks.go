package generator

import (
	"context"
)

// acquireExclusive waits until no other suspect request of this host runs on the engine name. The caller must call end
// to release it.
func (g *Generator) acquireExclusive(ctx context.Context, name string) (end func(), err error) {
	var lock chan struct{}
	g.suspectLocks.Update(name, func(ch chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			ch = make(chan struct{}, 1)
		}
		lock = ch
		return ch, true
	})
	select {
	case lock <- struct{}{}:
		return func() { <-lock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
