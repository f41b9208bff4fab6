package generator

import (
	"context"
)

// alone lets one suspect of this host at a time use engine name. The returned function ends the use.
func (g *Generator) acquireExclusive(ctx context.Context, name string) (end func(), err error) {
	var turn chan struct{}
	g.suspectLocks.Update(name, func(c chan struct{}, ok bool) (chan struct{}, bool) {
		if !ok {
			c = make(chan struct{}, 1)
		}
		turn = c
		return c, true
	})
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
