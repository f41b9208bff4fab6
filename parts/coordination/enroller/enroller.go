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
const GracePeriod = 2500 * time.Millisecond

// Stage is the part of the work that a model engine takes.
type Stage uint8

// The stages.
const (
	// Whole is the stage of an endpoint that does not split its work.
	Combined Stage = iota
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
	IncarnationStart time.Time
}

type entry struct {
	Endpoint
	offset uint64
	// lapsed is when the entry went while the store was out of reach; zero while it stands.
	lapsedAt time.Time
}

// departure is the last that was known of an entry that is gone.
type tombstone struct {
	offset           uint64
	incarnationStart time.Time
	sequence         int64
}

// isOlder tells whether an announcement at offset was made before the departure. A store that comes back from an older
// copy shows such announcements at higher positions.
func (d tombstone) isOlder(ep Endpoint, offset uint64) bool {
	if replicator.Era(offset) == replicator.Era(d.offset) {
		return offset < d.offset
	}
	return ep.IncarnationStart.Before(d.incarnationStart) || ep.IncarnationStart.Equal(d.incarnationStart) && ep.Sequence <= d.sequence
}

// Enroller is the list. It is not safe for concurrent use.
type Registry struct {
	entries     map[string]*entry
	tombstones  map[string]tombstone
	isStoreLost bool
	regainedAt  time.Time
}

// New returns an empty list.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), tombstones: make(map[string]tombstone)}
}

// Put takes an announcement at offset of the store. It returns false if the announcement is an old one.
func (e *Registry) Put(ep Endpoint, offset uint64) bool {
	old := e.entries[ep.ID]
	if d, ok := e.tombstones[ep.ID]; ok && d.isOlder(ep, offset) {
		return false
	}
	if old != nil {
		if offset <= old.offset && !old.lapsedAt.IsZero() {
			return false
		}
		if offset < old.offset || ep.IncarnationStart.Before(old.IncarnationStart) || (ep.IncarnationStart.Equal(old.IncarnationStart) && ep.Sequence < old.Sequence) {
			return false
		}
	}
	e.entries[ep.ID] = &entry{Endpoint: ep, offset: offset}
	return true
}

// Remove takes an entry out at offset. One that went in an outage, as the first reading after it tells, is kept for Grace.
func (e *Registry) Remove(now time.Time, id string, offset uint64) {
	old := e.entries[id]
	if old == nil || offset < old.offset {
		return
	}
	old.offset = offset
	if e.isStoreLost {
		if old.lapsedAt.IsZero() {
			old.lapsedAt = now
		}
		return
	}
	e.drop(id, offset)
}

// Spoil takes out an endpoint whose entry was overwritten by one that names no endpoint.
func (e *Registry) Invalidate(id string, offset uint64) {
	if old := e.entries[id]; old != nil && offset > old.offset {
		e.drop(id, offset)
	}
}

func (e *Registry) drop(id string, offset uint64) {
	d := tombstone{offset: offset}
	if old := e.entries[id]; old != nil {
		d.incarnationStart, d.sequence = old.IncarnationStart, old.Sequence
	}
	e.tombstones[id] = d
	delete(e.entries, id)
}

// Lost notes that the store is out of reach.
func (e *Registry) Lost() { e.isStoreLost = true }

// Regained notes that the store answers again.
func (e *Registry) Regained(now time.Time) {
	if e.isStoreLost {
		e.isStoreLost = false
		e.regainedAt = now
	}
}

// Retain takes out every entry that is not in ids, as after reading the store anew.
func (e *Registry) Retain(now time.Time, ids map[string]bool, offset uint64) {
	for id := range e.entries {
		if !ids[id] {
			e.Remove(now, id, offset)
		}
	}
}

// Expire drops the entries that lapsed in an outage and did not come back.
func (e *Registry) Expire(now time.Time) []string {
	if e.isStoreLost || now.Sub(e.regainedAt) < GracePeriod {
		return nil
	}
	var dropped []string
	for id, old := range e.entries {
		if !old.lapsedAt.IsZero() {
			e.drop(id, old.offset)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// All returns every entry, in order of their IDs.
func (e *Registry) All() []Endpoint {
	list := make([]Endpoint, 0, len(e.entries))
	for _, old := range e.entries {
		list = append(list, old.Endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
