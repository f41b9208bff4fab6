// Package booker reserves decode slots and KV cache memory of engines on behalf of all hosts.
//
// One host owns the reservations of an engine. They are soft state: they are rebuilt from the reports of the engine and
// expire on their own. Losing them costs goodput, never correctness.
package booker

import (
	"math"
	"slices"
	"time"
)

// Report is the load that an engine reports. Held and Capacity are in KV cache blocks.
type Report struct {
	Running     int
	Waiting     int
	Slots       int
	Held        int
	Capacity    int
	Incarnation string
}

// Request asks for one slot and a number of KV cache blocks. Arrival is when the slot is needed, Latest the deadline for
// getting it, Until when the reservation expires.
type Request struct {
	ID      string
	Blocks  int
	Arrival time.Time
	Latest  time.Time
	Until   time.Time
	// Suspect marks a request during which an engine crashed. An engine runs at most one suspect at a time.
	Suspect bool
}

type reservation struct {
	blocks  int
	arrival time.Time
	expires time.Time
	suspect bool
}

const (
	// sweepInterval is the interval between scans for expired reservations.
	sweepInterval = 500 * time.Millisecond
	// windows of windowLength cover the age of the data in a report: its lag and the interval between two reports.
	windows      = 5
	windowLength = 500 * time.Millisecond
	// holdTimeWeight is the weight of one request in the moving average of the time that a slot is held.
	holdTimeWeight = 0.05
	// departureMargin is the number of standard deviations by which departures may fall below their mean.
	departureMargin = 1.0
)

// Reservations are the reserved slots and memory of one engine. They are not safe for concurrent use.
type Reservations struct {
	holdTime     time.Duration
	report       Report
	reservations map[string]reservation
	blocks       int
	suspectCount int
	lastSweep    time.Time
	// peaks are the largest numbers of reservations in the last windows, newest first.
	peaks       [windows]int
	windowStart time.Time
}

// New returns empty Reservations. holdTime is the initial estimate of how long a request holds a slot.
func New(holdTime time.Duration) *Reservations {
	return &Reservations{holdTime: holdTime, reservations: make(map[string]reservation)}
}

// Report applies a report of the engine. A new incarnation discards all reservations, because the engine has restarted.
func (r *Reservations) Report(report Report) {
	if r.report.Incarnation != "" && report.Incarnation != r.report.Incarnation {
		clear(r.reservations)
		r.blocks = 0
		r.suspectCount = 0
	}
	r.report = report
}

// Reserve reserves a slot if one is predicted to be free by the deadline. Reserving an ID again renews it.
func (r *Reservations) Reserve(now time.Time, req Request) bool {
	r.expire(now)
	if _, ok := r.reservations[req.ID]; !ok && !r.fits(now, req) {
		return false
	}
	r.remove(req.ID)
	r.reservations[req.ID] = reservation{blocks: req.Blocks, arrival: req.Arrival, expires: req.Until, suspect: req.Suspect}
	r.blocks += req.Blocks
	if req.Suspect {
		r.suspectCount++
	}
	r.peaks[0] = max(r.peaks[0], len(r.reservations))
	return true
}

// Release frees the slot of reservation id and updates the mean hold time.
func (r *Reservations) Release(now time.Time, id string) {
	k, ok := r.reservations[id]
	if !ok {
		return
	}
	if held := now.Sub(k.arrival); held > 0 {
		r.holdTime += time.Duration(holdTimeWeight * float64(held-r.holdTime))
	}
	r.remove(id)
}

func (r *Reservations) remove(id string) {
	k, ok := r.reservations[id]
	if !ok {
		return
	}
	delete(r.reservations, id)
	r.blocks -= k.blocks
	if k.suspect {
		r.suspectCount--
	}
}

// Used returns the reserved slots plus those in use without a reservation.
func (r *Reservations) Used() int {
	return len(r.reservations) + r.unreserved()
}

// unreserved is the number of requests that the engine reports beyond all reservations that the report may reflect.
func (r *Reservations) unreserved() int {
	return max(0, r.report.Running+r.report.Waiting-slices.Max(r.peaks[:]))
}

// Slots returns the number of slots that the engine last reported.
func (r *Reservations) Slots() int { return r.report.Slots }

func (r *Reservations) fits(now time.Time, req Request) bool {
	if req.Suspect && r.suspectCount > 0 {
		return false
	}
	departures := r.departures(req.Latest.Sub(now))
	if r.Used() >= r.report.Slots+departures {
		return false
	}
	held := r.blocks
	if r.unreserved() > 0 {
		held = max(held, r.report.Held)
	}
	free := r.report.Capacity - held
	if used := r.Used(); used > 0 {
		free += departures * held / used
	}
	return req.Blocks <= free
}

// departures is a conservative estimate of how many running requests end within ahead. The standard deviation of
// independent departures is the square root of their mean.
func (r *Reservations) departures(ahead time.Duration) int {
	if ahead <= 0 || r.holdTime <= 0 {
		return 0
	}
	running := min(r.Used(), r.report.Slots)
	mean := float64(running) * min(1, ahead.Seconds()/r.holdTime.Seconds())
	return int(max(0, mean-departureMargin*math.Sqrt(mean)))
}

func (r *Reservations) expire(now time.Time) {
	r.rotatePeaks(now)
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for id, k := range r.reservations {
		if now.After(k.expires) {
			r.remove(id)
		}
	}
}

// rotatePeaks begins a new window once the current one has lasted windowLength.
func (r *Reservations) rotatePeaks(now time.Time) {
	if now.Sub(r.windowStart) < windowLength {
		return
	}
	r.windowStart = now
	copy(r.peaks[1:], r.peaks[:windows-1])
	r.peaks[0] = len(r.reservations)
}
