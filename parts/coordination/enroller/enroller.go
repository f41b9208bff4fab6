// Package enroller keeps the list of endpoints that announce themselves in a store.
//
// Entries may be stale, repeated, forged or lapse while the store is out of reach. An entry of an older incarnation, or
// an older entry of the same one, changes nothing. An entry that lapsed while the store was out of reach is kept for Grace
// after its return, because a live endpoint announces itself again by then. What goes after the return has left.
package enroller

import (
	"net/netip"
	"sort"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
)

// Grace is how long an entry that lapsed around an outage of the store is kept after the store's return: endpoints that
// live announce themselves again within about two seconds.
const Grace = 2500 * time.Millisecond

// Stage is the part of the work that a model engine takes.
type Stage uint8

// The stages.
const (
	// Whole is the stage of an endpoint that does not split its work.
	Whole Stage = iota
	Prefill
	Decode
)

// String returns the name of s for logs.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool
	Stage      Stage
	// Sequence grows with each announcement of one incarnation.
	Sequence int64
	// Born is the start of this incarnation.
	Born time.Time
}

type entry struct {
	Endpoint
	offset uint64
	// lapsed is when the entry went while the store was out of reach; zero while it stands.
	lapsed time.Time
}

// departure is the last that was known of an entry that is gone.
type departure struct {
	offset   uint64
	born     time.Time
	sequence int64
}

// isOlder tells whether an announcement at offset was made before the departure. A store that comes back from an older
// copy shows such announcements at higher positions.
func (d departure) isOlder(ep Endpoint, offset uint64) bool {
	if replicator.Era(offset) == replicator.Era(d.offset) {
		return offset < d.offset
	}
	return ep.Born.Before(d.born) || ep.Born.Equal(d.born) && ep.Sequence <= d.sequence
}

// Enroller is the list. It is not safe for concurrent use.
type Enroller struct {
	entries map[string]*entry
	gone    map[string]departure
	out     bool
	back    time.Time
}

// New returns an empty list.
func New() *Enroller {
	return &Enroller{entries: make(map[string]*entry), gone: make(map[string]departure)}
}

// Put takes an announcement at offset of the store. It returns false if the announcement is an old one.
func (e *Enroller) Put(ep Endpoint, offset uint64) bool {
	old := e.entries[ep.ID]
	if d, ok := e.gone[ep.ID]; ok && d.isOlder(ep, offset) {
		return false
	}
	if old != nil {
		if offset <= old.offset && !old.lapsed.IsZero() {
			return false
		}
		if offset < old.offset || ep.Born.Before(old.Born) || (ep.Born.Equal(old.Born) && ep.Sequence < old.Sequence) {
			return false
		}
	}
	e.entries[ep.ID] = &entry{Endpoint: ep, offset: offset}
	return true
}

// Remove takes an entry out at offset. One that went in an outage, as the first reading after it tells, is kept for Grace.
func (e *Enroller) Remove(now time.Time, id string, offset uint64) {
	old := e.entries[id]
	if old == nil || offset < old.offset {
		return
	}
	old.offset = offset
	if e.out {
		if old.lapsed.IsZero() {
			old.lapsed = now
		}
		return
	}
	e.drop(id, offset)
}

// Spoil takes out an endpoint whose entry was overwritten by one that names no endpoint.
func (e *Enroller) Spoil(id string, offset uint64) {
	if old := e.entries[id]; old != nil && offset > old.offset {
		e.drop(id, offset)
	}
}

func (e *Enroller) drop(id string, offset uint64) {
	d := departure{offset: offset}
	if old := e.entries[id]; old != nil {
		d.born, d.sequence = old.Born, old.Sequence
	}
	e.gone[id] = d
	delete(e.entries, id)
}

// Lost notes that the store is out of reach.
func (e *Enroller) Lost() { e.out = true }

// Regained notes that the store answers again.
func (e *Enroller) Regained(now time.Time) {
	if e.out {
		e.out = false
		e.back = now
	}
}

// Retain takes out every entry that is not in ids, as after reading the store anew.
func (e *Enroller) Retain(now time.Time, ids map[string]bool, offset uint64) {
	for id := range e.entries {
		if !ids[id] {
			e.Remove(now, id, offset)
		}
	}
}

// Expire drops the entries that lapsed in an outage and did not come back.
func (e *Enroller) Expire(now time.Time) []string {
	if e.out || now.Sub(e.back) < Grace {
		return nil
	}
	var dropped []string
	for id, old := range e.entries {
		if !old.lapsed.IsZero() {
			e.drop(id, old.offset)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// All returns every entry, in order of their IDs.
func (e *Enroller) All() []Endpoint {
	list := make([]Endpoint, 0, len(e.entries))
	for _, old := range e.entries {
		list = append(list, old.Endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
