// Package booker counts the decode slots and KV memory of engines on behalf of all hosts.
//
// One host owns the count of an engine. The count is soft state: it is rebuilt from the engine's reports and expires
// by itself, and losing it costs goodput, never correctness.
package booker

import "time"

// Report is an engine's own account of its load. Held and Capacity are in KV blocks.
type Report struct {
	Running     int
	Waiting     int
	Slots       int
	Held        int
	Capacity    int
	Incarnation string
}

// Request asks for one slot and a number of KV blocks from Arrival on. Until is when the booking lapses by itself.
type Request struct {
	ID      string
	Blocks  int
	Arrival time.Time
	Until   time.Time
	// Suspect marks a request that an engine died under. An engine runs one suspect at a time.
	Suspect bool
}

type booking struct {
	blocks  int
	until   time.Time
	suspect bool
}

// Book is the count of one engine. It is not safe for concurrent use.
type Book struct {
	// Service is the mean time that a request holds a slot, for predicting departures.
	Service  time.Duration
	report   Report
	bookings map[string]booking
	blocks   int
	suspects int
	sweep    time.Time
}

// sweepPeriod is how often lapsed bookings are searched for.
const sweepPeriod = 500 * time.Millisecond

// New returns the count of an engine whose requests hold a slot for service.
func New(service time.Duration) *Book {
	return &Book{Service: service, bookings: make(map[string]booking)}
}

// Report takes an engine's report. A new incarnation of the engine holds nothing of what was booked before.
func (b *Book) Report(r Report) {
	if b.report.Incarnation != "" && r.Incarnation != b.report.Incarnation {
		clear(b.bookings)
		b.blocks = 0
		b.suspects = 0
	}
	b.report = r
}

// Take books a slot if one is predicted to be free at the arrival. Taking an ID again renews it.
func (b *Book) Take(now time.Time, r Request) bool {
	b.lapse(now)
	if _, ok := b.bookings[r.ID]; !ok && !b.fits(now, r) {
		return false
	}
	b.Drop(r.ID)
	b.bookings[r.ID] = booking{blocks: r.Blocks, until: r.Until, suspect: r.Suspect}
	b.blocks += r.Blocks
	if r.Suspect {
		b.suspects++
	}
	return true
}

// Drop gives back the slot of booking id.
func (b *Book) Drop(id string) {
	k, ok := b.bookings[id]
	if !ok {
		return
	}
	delete(b.bookings, id)
	b.blocks -= k.blocks
	if k.suspect {
		b.suspects--
	}
}

// Used returns the slots booked or reported in use, whichever is more.
func (b *Book) Used() int {
	return max(len(b.bookings), b.report.Running+b.report.Waiting)
}

// Slots returns the slots that the engine reported.
func (b *Book) Slots() int { return b.report.Slots }

func (b *Book) fits(now time.Time, r Request) bool {
	if r.Suspect && b.suspects > 0 {
		return false
	}
	departures := b.departures(r.Arrival.Sub(now))
	if b.Used() >= b.report.Slots+departures {
		return false
	}
	free := b.report.Capacity - max(b.blocks, b.report.Held)
	if b.Used() > 0 {
		free += departures * max(b.blocks, b.report.Held) / b.Used()
	}
	return r.Blocks <= free
}

// departures predicts how many of the running requests end within ahead.
func (b *Book) departures(ahead time.Duration) int {
	if ahead <= 0 || b.Service <= 0 {
		return 0
	}
	running := min(b.Used(), b.report.Slots)
	return int(float64(running) * min(1, ahead.Seconds()/b.Service.Seconds()))
}

func (b *Book) lapse(now time.Time) {
	if now.Sub(b.sweep) < sweepPeriod {
		return
	}
	b.sweep = now
	for id, k := range b.bookings {
		if now.After(k.until) {
			b.Drop(id)
		}
	}
}
