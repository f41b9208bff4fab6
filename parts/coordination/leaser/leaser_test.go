package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var (
	epoch = time.Unix(1_000_000, 0)
	cfg   = Config{Lease: 3 * time.Second, Margin: 300 * time.Millisecond}
)

func TestAResourceOfAnotherHostIsAcquiredOnlyAfterTheTakeoverDelay(t *testing.T) {
	o := NewObserver(cfg)
	assert.True(t, o.MayAcquire(epoch, "e", "b"), "it has no holder")
	o.Observe(epoch, "e", Record{Holder: "a", Offset: 4})
	assert.True(t, o.MayAcquire(epoch, "e", "a"), "the holder renews it")
	assert.False(t, o.MayAcquire(epoch.Add(cfg.TakeoverDelay()-1), "e", "b"))
	o.Observe(epoch.Add(time.Second), "e", Record{Holder: "a", Offset: 9})
	assert.False(t, o.MayAcquire(epoch.Add(cfg.TakeoverDelay()), "e", "b"), "it was renewed")
	assert.True(t, o.MayAcquire(epoch.Add(time.Second+cfg.TakeoverDelay()), "e", "b"))
}

func TestATokenExpiresByTheWallClockIfTheHostWasSuspended(t *testing.T) {
	token := Config{Lease: time.Minute, Margin: time.Second}.NewToken(time.Now(), 1)
	assert.True(t, token.IsValid(time.Now()))
	resumed := time.Now().Round(0).Add(time.Hour)
	assert.False(t, token.IsValid(resumed))
}

// TestOrdersOfTwoHoldersAreALeaseApart simulates hosts that read, append and send orders at random times, with delayed
// answers to appends.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type order struct {
			holder string
			fence  uint64
			at     time.Time
		}
		hosts := map[string]*Observer{"a": NewObserver(cfg), "b": NewObserver(cfg), "c": NewObserver(cfg)}
		tokens := make(map[string]Token)
		var newest *Record
		var orders []order
		now, offset := epoch, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
			host := hosts[name]
			if rapid.Bool().Draw(t, "orders") {
				if token, ok := tokens[name]; ok && token.IsValid(now) {
					orders = append(orders, order{holder: name, fence: token.Fence, at: now})
				}
				continue
			}
			if newest != nil {
				host.Observe(now, "e", *newest)
			}
			if !host.MayAcquire(now, "e", name) {
				continue
			}
			// The append takes effect some time after its start. Its condition holds because no other append comes in between.
			start := now
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "append")) * time.Millisecond)
			offset++
			newest = &Record{Holder: name, Offset: offset}
			tokens[name] = cfg.NewToken(start, offset)
		}
		for i := 1; i < len(orders); i++ {
			before, this := orders[i-1], orders[i]
			if before.holder == this.holder {
				continue
			}
			assert.Greater(t, this.fence, before.fence)
			assert.GreaterOrEqual(t, this.at.Sub(before.at), cfg.Lease)
		}
	})
}
