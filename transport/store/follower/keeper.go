package follower

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Keeper carries the state of a stream forward before the log forgets its records.
type Checkpointer[P any] struct {
	Follower *Follower[P]
	// Period is the time between checkpoints, well below the log's retention.
	Interval time.Duration
	// IsHome tells whether this host is the one to write. Two writers do no harm.
	IsOwner func() bool
	// Checkpoint returns the records of a checkpoint of the state before the record at offset upto. It runs inside View.
	Checkpoint func(upto uint64) []P
	Clock      clockwork.Clock
}

// Run writes checkpoints until ctx ends.
func (k *Checkpointer[P]) Run(ctx context.Context) {
	ticker := k.Clock.NewTicker(k.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if k.IsOwner() {
				k.write(ctx)
			}
		}
	}
}

func (k *Checkpointer[P]) write(ctx context.Context) {
	var parts []P
	k.Follower.View(func(p Position) {
		if p.IsComplete && p.IsCaughtUp && p.Next > 0 {
			parts = k.Checkpoint(p.Next)
		}
	})
	for _, part := range parts {
		if k.Follower.Append(ctx, part) != nil {
			return
		}
	}
}
