// Package booker counts the decode slots and KV memory of engines on behalf of all hosts.
//
// One host owns the count of an engine. The count is soft state: it is rebuilt from the engine's reports and expires
// by itself, and losing it costs goodput, never correctness.
package booker

import (
	"math"
	"slices"
	"time"
)

// Report is an engine's own account of its load. Held and Capacity are in KV blocks.
type Report struct {
	Running     int
	Waiting     int
	Slots       int
	Held        int
	Capacity    int
	Incarnation string
}

// Request asks for one slot and a number of KV blocks. Arrival is when the slot is wanted, Latest when it is of no use
// any more, Until when the booking lapses by itself.
type Request struct {
	ID      string
	Blocks  int
	Arrival time.Time
	Latest  time.Time
	Until   time.Time
	// Suspect marks a request that an engine died under. An engine runs one suspect at a time.
	Suspect bool
}

type reservation struct {
	blocks  int
	arrival time.Time
	expires time.Time
	suspect bool
}

const (
	// sweepPeriod is how often lapsed bookings are searched for.
	sweepPeriod = 500 * time.Millisecond
	// windows of windowLength are how far back a report may look: its lag and the time between two of them.
	windows      = 5
	windowLength = 500 * time.Millisecond
	// serviceWeight is the weight of one request in the mean time that a slot is held.
	holdTimeWeight = 0.05
	// departureMargin is the number of standard deviations by which departures may fall short of their mean.
	departureMargin = 1.0
)

// Book is the count of one engine. It is not safe for concurrent use.
type Reservations struct {
	holdTime     time.Duration
	report       Report
	reservations map[string]reservation
	blocks       int
	suspectCount int
	lastSweep    time.Time
	// peaks are the largest numbers of bookings in the last windows, the newest first.
	peaks       [windows]int
	windowStart time.Time
}

// New returns the count of an engine whose requests hold a slot for service.
func New(service time.Duration) *Reservations {
	return &Reservations{holdTime: service, reservations: make(map[string]reservation)}
}

// Report takes an engine's report. A new incarnation of the engine holds nothing of what was booked before.
func (b *Reservations) Report(r Report) {
	if b.report.Incarnation != "" && r.Incarnation != b.report.Incarnation {
		clear(b.reservations)
		b.blocks = 0
		b.suspectCount = 0
	}
	b.report = r
}

// Take books a slot if one is predicted to be free in time. Taking an ID again renews it.
func (b *Reservations) Reserve(now time.Time, r Request) bool {
	b.expire(now)
	if _, ok := b.reservations[r.ID]; !ok && !b.fits(now, r) {
		return false
	}
	b.remove(r.ID)
	b.reservations[r.ID] = reservation{blocks: r.Blocks, arrival: r.Arrival, expires: r.Until, suspect: r.Suspect}
	b.blocks += r.Blocks
	if r.Suspect {
		b.suspectCount++
	}
	b.peaks[0] = max(b.peaks[0], len(b.reservations))
	return true
}

// Drop gives back the slot of booking id and learns how long it was held.
func (b *Reservations) Release(now time.Time, id string) {
	k, ok := b.reservations[id]
	if !ok {
		return
	}
	if held := now.Sub(k.arrival); held > 0 {
		b.holdTime += time.Duration(holdTimeWeight * float64(held-b.holdTime))
	}
	b.remove(id)
}

func (b *Reservations) remove(id string) {
	k, ok := b.reservations[id]
	if !ok {
		return
	}
	delete(b.reservations, id)
	b.blocks -= k.blocks
	if k.suspect {
		b.suspectCount--
	}
}

// Used returns the slots booked, and those reported in use beyond all bookings that the report can have seen.
func (b *Reservations) Used() int {
	return len(b.reservations) + b.unbooked()
}

// unbooked is the number of requests that the engine runs without a booking here.
func (b *Reservations) unbooked() int {
	return max(0, b.report.Running+b.report.Waiting-slices.Max(b.peaks[:]))
}

// Slots returns the slots that the engine reported.
func (b *Reservations) Slots() int { return b.report.Slots }

func (b *Reservations) fits(now time.Time, r Request) bool {
	if r.Suspect && b.suspectCount > 0 {
		return false
	}
	departures := b.departures(r.Latest.Sub(now))
	if b.Used() >= b.report.Slots+departures {
		return false
	}
	held := b.blocks
	if b.unbooked() > 0 {
		held = max(held, b.report.Held)
	}
	free := b.report.Capacity - held
	if used := b.Used(); used > 0 {
		free += departures * held / used
	}
	return r.Blocks <= free
}

// departures predicts how many of the running requests end within ahead, on the cautious side: departures that are
// independent vary about their mean by its square root.
func (b *Reservations) departures(ahead time.Duration) int {
	if ahead <= 0 || b.holdTime <= 0 {
		return 0
	}
	running := min(b.Used(), b.report.Slots)
	mean := float64(running) * min(1, ahead.Seconds()/b.holdTime.Seconds())
	return int(max(0, mean-departureMargin*math.Sqrt(mean)))
}

func (b *Reservations) expire(now time.Time) {
	b.rotatePeaks(now)
	if now.Sub(b.lastSweep) < sweepPeriod {
		return
	}
	b.lastSweep = now
	for id, k := range b.reservations {
		if now.After(k.expires) {
			b.remove(id)
		}
	}
}

// turn begins a new window once the newest one is full.
func (b *Reservations) rotatePeaks(now time.Time) {
	if now.Sub(b.windowStart) < windowLength {
		return
	}
	b.windowStart = now
	copy(b.peaks[1:], b.peaks[:windows-1])
	b.peaks[0] = len(b.reservations)
}
