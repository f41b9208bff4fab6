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

func TestADutyOfAnotherHostIsTakenOnlyAfterItStoodUnchanged(t *testing.T) {
	w := NewWatch(cfg)
	assert.True(t, w.MayTake(epoch, "e", "b"), "nobody has it")
	w.Seen(epoch, "e", Record{Holder: "a", Offset: 4})
	assert.True(t, w.MayTake(epoch, "e", "a"), "the holder goes on")
	assert.False(t, w.MayTake(epoch.Add(cfg.Wait()-1), "e", "b"))
	w.Seen(epoch.Add(time.Second), "e", Record{Holder: "a", Offset: 9})
	assert.False(t, w.MayTake(epoch.Add(cfg.Wait()), "e", "b"), "it was renewed")
	assert.True(t, w.MayTake(epoch.Add(time.Second+cfg.Wait()), "e", "b"))
}

func TestATokenEndsByTheTimeOfDayIfTheHostStoodStill(t *testing.T) {
	token := Config{Lease: time.Minute, Margin: time.Second}.NewToken(time.Now(), 1)
	assert.True(t, token.IsGood(time.Now()))
	thawed := time.Now().Round(0).Add(time.Hour)
	assert.False(t, token.IsGood(thawed))
}

// TestOrdersOfTwoHoldersAreALeaseApart plays hosts that look, append and order at any time, with answers that come late.
func TestOrdersOfTwoHoldersAreALeaseApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type order struct {
			holder string
			fence  uint64
			at     time.Time
		}
		hosts := map[string]*Watch{"a": NewWatch(cfg), "b": NewWatch(cfg), "c": NewWatch(cfg)}
		tokens := make(map[string]Token)
		var newest *Record
		var orders []order
		now, offset := epoch, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "host")
			host := hosts[name]
			if rapid.Bool().Draw(t, "orders") {
				if token, ok := tokens[name]; ok && token.IsGood(now) {
					orders = append(orders, order{holder: name, fence: token.Fence, at: now})
				}
				continue
			}
			if newest != nil {
				host.Seen(now, "e", *newest)
			}
			if !host.MayTake(now, "e", name) {
				continue
			}
			// The append takes effect after it began, and its condition holds because nothing came between.
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
