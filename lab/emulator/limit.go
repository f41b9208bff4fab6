package emulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// HostOf returns the host that a request with the given ID was sent to, if the caller wrote the ID as HOST/NUMBER.
func HostOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}

// Arrival is a request as an endpoint received it, refused ones included and control calls excluded.
type Arrival struct {
	At time.Time
	ID string
}

// LimitChange is a change of the rate limit that an endpoint states; PerSecond is nil once it states none.
type LimitChange struct {
	At        time.Time
	PerSecond *float64
}

// limitRecord holds the rate limits that an endpoint has stated, and who sent what.
type limitRecord struct {
	perSecond *float64
	changes   []LimitChange
	arrivals  []Arrival
	// informedAt holds, by host, when it first got an answer with a limit.
	informedAt map[string]time.Time
}

// SetLimit makes the endpoint state in its answers that it accepts perSecond requests from all hosts together.
func (e *Endpoint) SetLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLimit(&perSecond)
}

// WithdrawLimit ends the statement of a limit.
func (e *Endpoint) WithdrawLimit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLimit(nil)
}

func (e *Endpoint) setLimit(perSecond *float64) {
	e.limits.perSecond = perSecond
	e.limits.changes = append(e.limits.changes, LimitChange{At: time.Now(), PerSecond: perSecond})
}

// setLimitHeader states the limit in an answer. The caller holds mu.
func (e *Endpoint) setLimitHeader(w http.ResponseWriter) {
	w.Header().Del("Server-Limit")
	if e.limits.perSecond != nil {
		w.Header().Set("Server-Limit", strconv.FormatFloat(*e.limits.perSecond, 'f', -1, 64))
	}
}

// recordArrival records a request, whose answer states the present limit. The caller holds mu.
func (e *Endpoint) recordArrival(w http.ResponseWriter, id string) {
	now := time.Now()
	e.limits.arrivals = append(e.limits.arrivals, Arrival{At: now, ID: id})
	e.setLimitHeader(w)
	if e.limits.perSecond == nil {
		return
	}
	if e.limits.informedAt == nil {
		e.limits.informedAt = make(map[string]time.Time)
	}
	if _, ok := e.limits.informedAt[HostOf(id)]; !ok {
		e.limits.informedAt[HostOf(id)] = now
	}
}

// LimitHistory returns the arrivals at the endpoint, its limits, and when each host first got an answer with one.
func (e *Endpoint) LimitHistory() (arrivals []Arrival, limits []LimitChange, informedAt map[string]time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	informedAt = make(map[string]time.Time, len(e.limits.informedAt))
	for host, at := range e.limits.informedAt {
		informedAt[host] = at
	}
	return append([]Arrival(nil), e.limits.arrivals...), append([]LimitChange(nil), e.limits.changes...), informedAt
}

const (
	// limitWindow is the span in which requests are compared with a limit.
	limitWindow = 4 * time.Second
	// limitTolerance and limitAllowance are what an endpoint bears beyond its limit: a factor, and a number of requests.
	limitTolerance = 1.5
	limitAllowance = 5
	// informDelay is how long after its first answer with a limit the requests of a host count.
	informDelay = 500 * time.Millisecond
)

// Excess is a window in which an endpoint got more requests than its limit allows.
type Excess struct {
	End      time.Time
	Requests int
	Allowed  float64
}

// LimitExcesses returns the windows with more requests than the endpoint's limit allows, from contact after the limit was
// first stated. Requests count if their hosts have got an answer with a limit; nothing excuses a host.
func (e *Endpoint) LimitExcesses(contact time.Duration) []Excess {
	arrivals, changes, informedAt := e.LimitHistory()
	var excesses []Excess
	first := 0
	for i, end := range arrivals {
		for arrivals[first].At.Before(end.At.Add(-limitWindow)) {
			first++
		}
		highest, since := limitIn(changes, end.At)
		if since.IsZero() || end.At.Before(since.Add(contact)) {
			continue
		}
		n := 0
		for _, a := range arrivals[first : i+1] {
			if informed, ok := informedAt[HostOf(a.ID)]; ok && !informed.Add(informDelay).After(end.At) {
				n++
			}
		}
		if allowed := limitTolerance*highest*limitWindow.Seconds() + limitAllowance; float64(n) > allowed {
			excesses = append(excesses, Excess{End: end.At, Requests: n, Allowed: allowed})
		}
	}
	return excesses
}

// limitIn returns the highest limit in the window that ends at end, and since when there has been a limit without a break,
// zero if there is none at end.
func limitIn(changes []LimitChange, end time.Time) (highest float64, since time.Time) {
	for i, c := range changes {
		if c.At.After(end) {
			break
		}
		switch {
		case c.PerSecond == nil:
			highest, since = 0, time.Time{}
			continue
		case since.IsZero():
			since = c.At
		}
		if i+1 == len(changes) || changes[i+1].At.After(end.Add(-limitWindow)) {
			highest = max(highest, *c.PerSecond)
		}
	}
	return highest, since
}
