package tracker

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	simulationStep = 100 * time.Millisecond
	networkDelay   = simulationStep
)

// maxDetectionTime is the time within which every live host must detect a failure: the contact time of a fleet of that size.
func maxDetectionTime(hosts int) time.Duration {
	if hosts <= 120 {
		return 4 * time.Second
	}
	return 5 * time.Second
}

var simulationConfig = Config{
	Interval: 500 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, SuspicionTimeout: 4 * time.Second,
	Retention: 2 * time.Minute, MaxUpdates: 6,
}

// envelope is a message in flight.
type envelope struct {
	send Send
	due  time.Time
}

// fleet runs trackers with different start times over links that delay messages and lose some.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	trackers []*Tracker
	starts   []time.Time
	down     map[int]bool
	loss     float64
	inFlight []envelope
	messages int
}

func newFleet(n int, loss float64, seed uint64) *fleet {
	f := &fleet{now: epoch, random: rand.New(rand.NewPCG(seed, 7)), down: make(map[int]bool), loss: loss}
	seeds := []netip.AddrPort{address(0), address(n / 3), address(2 * n / 3)}
	for i := range n {
		self := Member{Name: fmt.Sprintf("host-%04d", i), Address: address(i), Incarnation: uint64(epoch.UnixNano())}
		f.trackers = append(f.trackers, New(simulationConfig, self, seeds, rand.New(rand.NewPCG(seed, uint64(i)))))
		f.starts = append(f.starts, epoch.Add(time.Duration(f.random.Int64N(int64(simulationConfig.Interval)))))
	}
	return f
}

func hostIndex(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])<<8 | int(b[3])
}

func (f *fleet) transmit(sends []Send) {
	for _, s := range sends {
		f.messages++
		if f.random.Float64() >= f.loss {
			f.inFlight = append(f.inFlight, envelope{send: s, due: f.now.Add(networkDelay)})
		}
	}
}

func (f *fleet) step() {
	f.now = f.now.Add(simulationStep)
	var due []Send
	f.inFlight = slices.DeleteFunc(f.inFlight, func(e envelope) bool {
		if e.due.After(f.now) {
			return false
		}
		due = append(due, e.send)
		return true
	})
	for _, s := range due {
		if to := hostIndex(s.To); !f.down[to] {
			f.transmit(f.trackers[to].Receive(f.now, s.Message))
		}
	}
	for i, t := range f.trackers {
		if !f.down[i] && !f.starts[i].After(f.now) {
			f.transmit(t.Tick(f.now))
		}
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// countMistaken returns how many live hosts consider a failed one alive.
func (f *fleet) countMistaken() int {
	n := 0
	for i, t := range f.trackers {
		if f.down[i] {
			continue
		}
		for _, m := range t.members {
			if m.State == Alive && f.down[hostIndex(m.Address)] {
				n++
				break
			}
		}
	}
	return n
}

// detectionTime runs the fleet until no live host considers a failed one alive, and returns the time that it took.
func (f *fleet) detectionTime(limit time.Duration) time.Duration {
	started := f.now
	for f.countMistaken() > 0 && f.now.Sub(started) < limit {
		f.step()
	}
	return f.now.Sub(started)
}

// While the joins of a starting fleet still spread, a failure must not queue behind them.
func TestAFailureDuringStartUpIsDetectedEverywhereInTime(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		for seed := range uint64(3) {
			f := newFleet(n, 0.01, seed)
			f.run(3 * time.Second)
			f.down[n-2] = true
			assert.LessOrEqual(t, f.detectionTime(20*time.Second), maxDetectionTime(n), "%d hosts, seed %d", n, seed)
		}
	}
}

func TestAFailureInAStableFleetIsDetectedEverywhereInTime(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		f := newFleet(n, 0.01, 1)
		f.run(30 * time.Second)
		f.down[n-2] = true
		assert.LessOrEqual(t, f.detectionTime(20*time.Second), maxDetectionTime(n), "%d hosts", n)
	}
}

func TestTheFailureOfMoreThanHalfOfTheHostsIsDetectedEverywhereInTime(t *testing.T) {
	for _, n := range []int{30, 100, 300} {
		f := newFleet(n, 0, 1)
		f.run(20 * time.Second)
		for i := range n * 6 / 10 {
			f.down[i] = true
		}
		assert.LessOrEqual(t, f.detectionTime(20*time.Second), maxDetectionTime(n), "%d hosts", n)
	}
}

// A host may learn that a member is dead before it has learnt of the member at all. An older update that arrives later
// must not make the member alive.
func TestAnOlderUpdateDoesNotReviveADeadMember(t *testing.T) {
	tr := New(testConfig, Member{Name: "self", Address: address(0)}, nil, rand.New(rand.NewPCG(1, 1)))
	lost := Member{Name: "lost", Address: address(1), Incarnation: 5, State: Dead}
	from := Member{Name: "other", Address: address(2), Incarnation: 1}
	tr.Receive(epoch, Message{Answer: true, From: from, Updates: []Member{lost}})
	lost.State = Alive
	tr.Receive(epoch, Message{Answer: true, From: from, Updates: []Member{lost}})
	for _, m := range tr.Members() {
		if m.Name == "lost" {
			assert.Equal(t, Dead, m.State)
		}
	}
	assert.Len(t, tr.Members(), 2)
}

// BenchmarkNotice reports the time until no live host considers a failed one alive, and the message rate of a host.
func BenchmarkNotice(b *testing.B) {
	for _, n := range []int{30, 100, 300, 1000} {
		for _, lost := range []int{1, n * 6 / 10} {
			b.Run(fmt.Sprintf("hosts=%d/lost=%d", n, lost), func(b *testing.B) {
				for range b.N {
					f := newFleet(n, 0, 1)
					f.run(30 * time.Second)
					for i := range lost {
						f.down[n-1-i] = true
					}
					f.messages = 0
					took := f.detectionTime(time.Minute)
					b.ReportMetric(took.Seconds(), "s/notice")
					b.ReportMetric(float64(f.messages)/float64(n-lost)/took.Seconds(), "messages/host/s")
				}
			})
		}
	}
}
