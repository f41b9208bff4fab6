// Package enroller keeps the registry of endpoints that announce themselves in a store.
//
// Entries may be stale, repeated, forged or expire while the store is unreachable. Announcements of an older incarnation,
// or older announcements of the same one, are ignored. An entry that expired while the store was unreachable is kept for
// GracePeriod after the store is reachable again, because a live endpoint announces itself again by then. An entry that
// is removed while the store is reachable belongs to an endpoint that has left.
package enroller

import (
	"net/netip"
	"sort"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
)

// GracePeriod is how long an entry that expired during an outage of the store is kept after the outage: live endpoints
// announce themselves again within about two seconds.
const GracePeriod = 2500 * time.Millisecond

// Stage is the part of inference that a model engine runs.
type Stage uint8

// Stages of model engines.
const (
	// Combined is the stage of an endpoint that does not split its work.
	Combined Stage = iota
	Prefill
	Decode
)

// String returns the name of the stage as it is logged; an unknown stage panics.
func (s Stage) String() string { return [...]string{"whole", "prefill", "decode"}[s] }

// Endpoint is the announcement of an endpoint.
type Endpoint struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Version is the version of the endpoint's software, empty if the announcements of one incarnation disagree.
	Version string
	Slots   int
	Leaving bool
	Stage   Stage
	// Sequence increases with each announcement of one incarnation.
	Sequence int64
	// IncarnationStart identifies and orders incarnations.
	IncarnationStart time.Time
}

type entry struct {
	Endpoint
	offset uint64
	// lapsedAt is when the entry expired while the store was unreachable; zero while it is valid.
	lapsedAt time.Time
}

// tombstone is the last known state of a removed entry.
type tombstone struct {
	offset           uint64
	incarnationStart time.Time
	sequence         int64
}

// isOlder reports whether an announcement at offset was made before the removal. A store that was restored from an older
// copy has such announcements at higher positions.
func (t tombstone) isOlder(ep Endpoint, offset uint64) bool {
	if replicator.Era(offset) == replicator.Era(t.offset) {
		return offset < t.offset
	}
	return ep.IncarnationStart.Before(t.incarnationStart) || ep.IncarnationStart.Equal(t.incarnationStart) && ep.Sequence <= t.sequence
}

// Registry is the set of announced endpoints. It is not safe for concurrent use.
type Registry struct {
	entries     map[string]*entry
	tombstones  map[string]tombstone
	isStoreLost bool
	regainedAt  time.Time
}

// New returns an empty Registry whose store is assumed to be reachable.
func New() *Registry {
	return &Registry{entries: make(map[string]*entry), tombstones: make(map[string]tombstone)}
}

// Put applies an announcement at an offset of the store. It returns false if the announcement is outdated.
func (r *Registry) Put(ep Endpoint, offset uint64) bool {
	old := r.entries[ep.ID]
	if d, ok := r.tombstones[ep.ID]; ok && d.isOlder(ep, offset) {
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
	if old != nil && ep.IncarnationStart.Equal(old.IncarnationStart) && ep.Version != old.Version {
		ep.Version = ""
	}
	r.entries[ep.ID] = &entry{Endpoint: ep, offset: offset}
	return true
}

// Remove removes an entry at offset. Until Regained, which follows the first read after an outage, the entry is only
// marked as expired; Expire removes it after GracePeriod.
func (r *Registry) Remove(now time.Time, id string, offset uint64) {
	old := r.entries[id]
	if old == nil || offset < old.offset {
		return
	}
	old.offset = offset
	if r.isStoreLost {
		if old.lapsedAt.IsZero() {
			old.lapsedAt = now
		}
		return
	}
	r.drop(id, offset)
}

// Invalidate removes an endpoint whose entry was overwritten by one that is not a valid announcement.
func (r *Registry) Invalidate(id string, offset uint64) {
	if old := r.entries[id]; old != nil && offset > old.offset {
		r.drop(id, offset)
	}
}

func (r *Registry) drop(id string, offset uint64) {
	d := tombstone{offset: offset}
	if old := r.entries[id]; old != nil {
		d.incarnationStart, d.sequence = old.IncarnationStart, old.Sequence
	}
	r.tombstones[id] = d
	delete(r.entries, id)
}

// Lost marks the store as unreachable.
func (r *Registry) Lost() { r.isStoreLost = true }

// Regained marks the store as reachable again and starts GracePeriod.
func (r *Registry) Regained(now time.Time) {
	if r.isStoreLost {
		r.isStoreLost = false
		r.regainedAt = now
	}
}

// Retain removes every entry that is not in ids, which come from a full read of the store.
func (r *Registry) Retain(now time.Time, ids map[string]bool, offset uint64) {
	for id := range r.entries {
		if !ids[id] {
			r.Remove(now, id, offset)
		}
	}
}

// Expire removes the entries that expired during an outage and were not announced again, and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	if r.isStoreLost || now.Sub(r.regainedAt) < GracePeriod {
		return nil
	}
	var dropped []string
	for id, old := range r.entries {
		if !old.lapsedAt.IsZero() {
			r.drop(id, old.offset)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// All returns all endpoints sorted by ID, including those that are kept for GracePeriod.
func (r *Registry) All() []Endpoint {
	list := make([]Endpoint, 0, len(r.entries))
	for _, old := range r.entries {
		list = append(list, old.Endpoint)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
