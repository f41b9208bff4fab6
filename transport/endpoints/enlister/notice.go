package enlister

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// maxPause bounds the pause that an endpoint can ask for: a wrong number must not cost it for good.
	maxPause = 5 * time.Minute
	// noticeAge is how long it is remembered that an incarnation leaves after its entry has gone: an older entry may
	// come back once more.
	noticeAge = 10 * time.Minute
)

// Notice is what an endpoint says of itself beside an answer.
type Notice struct {
	// Leaving is set by an endpoint that is about to end.
	Leaving bool
	// Pause is how long the endpoint wants nothing from this host.
	Pause time.Duration
	// Unreadable is the text of a pause that cannot be read.
	Unreadable string
}

// PausedError reports an endpoint that wants nothing from this host until a moment.
type PausedError struct {
	Endpoint string
	Until    time.Time
}

func (e *PausedError) Error() string {
	return fmt.Sprintf("enlister: unable to call %s: it asked for a pause until %s", e.Endpoint, e.Until.Format(time.StampMilli))
}

// departure is the incarnation of an endpoint that has said that it leaves.
type departure struct {
	born time.Time
	told time.Time
}

// PausedUntil returns until when the endpoint wants nothing from this host.
func (e *Endpoint) PausedUntil() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil
}

// IsPaused tells whether the endpoint wants nothing from this host at now.
func (e *Endpoint) IsPaused(now time.Time) bool { return now.Before(e.PausedUntil()) }

// pause takes in that the endpoint asks for a pause. The longest one stands: answers may overtake each other.
func (e *Endpoint) pause(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// Notice takes in what ep has said of itself.
func (e *Enlister) Notice(ep *Endpoint, n Notice) {
	now := e.clock.Now()
	if n.Unreadable != "" {
		eventer.Warn(e.logs, eventer.NoticeDamaged, "endpoint", ep.ID, "service", ep.Service, "pause", n.Unreadable)
	}
	if n.Pause > 0 {
		pause := min(n.Pause, maxPause)
		ep.pause(now.Add(pause))
		e.count("pause")
		eventer.Info(e.logs, eventer.EndpointPaused, "endpoint", ep.ID, "service", ep.Service, "asked", n.Pause, "pause", pause)
	}
	if n.Leaving && e.Depart(ep.ID, ep.IncarnationStart, "answer") {
		e.count("leaving")
		e.onLeaving(ep)
	}
}

// NoticeAt takes in what the endpoint at an address has said of itself.
func (e *Enlister) NoticeAt(at netip.AddrPort, n Notice) {
	if ep := e.index.Load().byAddress[at]; ep != nil {
		e.Notice(ep, n)
	}
}

// MayCall returns a *PausedError if the endpoint at an address wants nothing from this host.
func (e *Enlister) MayCall(at netip.AddrPort) error {
	ep := e.index.Load().byAddress[at]
	if ep == nil || !ep.IsPaused(e.clock.Now()) {
		return nil
	}
	return &PausedError{Endpoint: ep.ID, Until: ep.PausedUntil()}
}

// Depart takes in that an incarnation of an endpoint leaves, whatever its entry says, and returns false if that was
// known. The next incarnation is not concerned.
func (e *Enlister) Depart(id string, born time.Time, source string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.known[id]
	if old == nil || !old.IncarnationStart.Equal(born) || old.Leaving {
		return false
	}
	e.departed[id] = departure{born: born, told: e.clock.Now()}
	eventer.Info(e.logs, eventer.EndpointLeaving, "endpoint", id, "service", old.Service, "born", born, "source", source)
	e.rebuild(0)
	return true
}

// Paused returns the endpoints of a service that want nothing from this host, and when the first pause ends.
func (e *Enlister) Paused(service string) (ids []string, ends time.Time) {
	now := e.clock.Now()
	for _, ep := range e.Service(service) {
		until := ep.PausedUntil()
		if !now.Before(until) {
			continue
		}
		ids = append(ids, ep.ID)
		if ends.IsZero() || until.Before(ends) {
			ends = until
		}
	}
	return ids, ends
}

// forgetDepartures drops what is old of endpoints that are no longer listed. The caller holds mu.
func (e *Enlister) forgetDepartures() {
	now := e.clock.Now()
	for id, d := range e.departed {
		if e.known[id] == nil && now.Sub(d.told) > noticeAge {
			delete(e.departed, id)
		}
	}
}
