package follower

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Checkpointer periodically appends the state of a stream, so that the state survives the expiry of the log's records.
type Checkpointer[P any] struct {
	Follower *Follower[P]
	// Interval is the time between checkpoints. It must be well below the log's retention.
	Interval time.Duration
	// IsOwner reports whether this host writes the checkpoints. Checkpoints by two hosts at once are harmless.
	IsOwner func() bool
	// Checkpoint returns the records of a checkpoint of the state before the record at offset upto. It is called by View.
	Checkpoint func(upto uint64) []P
	Clock      clockwork.Clock
}

// Run writes checkpoints until ctx is done.
func (c *Checkpointer[P]) Run(ctx context.Context) {
	ticker := c.Clock.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			if c.IsOwner() {
				c.write(ctx)
			}
		}
	}
}

func (c *Checkpointer[P]) write(ctx context.Context) {
	var parts []P
	c.Follower.View(func(p Position) {
		if p.IsComplete && p.IsCaughtUp && p.Next > 0 {
			parts = c.Checkpoint(p.Next)
		}
	})
	for _, part := range parts {
		if c.Follower.Append(ctx, part) != nil {
			return
		}
	}
}
