// Package replicator keeps the newest record of each key of a log, so that a host can serve other hosts that follow the
// log.
//
// Records without a change are omitted: a follower receives changes, not every heartbeat of an unchanged entry. Offsets
// are those of the log, so a follower can continue at another replica, or at the log itself, from its current offset.
package replicator

import (
	"cmp"
	"slices"
	"sync"
)

// maxRemovals bounds the removals that are kept. Followers that are further behind must read the whole topic again.
const maxRemovals = 1024

// Record is one record of a keyed topic. An empty Value removes the key. Offset is a position as returned by Position.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Replica holds the current state of one topic. It is safe for concurrent use.
type Replica struct {
	isChange func(key string, old, value []byte) bool
	mu       sync.Mutex
	records  map[string]Record
	removals []Record
	// oldest is the lowest offset from which the changes are complete.
	oldest  uint64
	next    uint64
	listed  bool
	changed chan struct{}
}

// New returns an empty replica. A record for which isChange returns false does not replace the record of its key.
func New(isChange func(key string, old, value []byte) bool) *Replica {
	return &Replica{isChange: isChange, records: make(map[string]Record), changed: make(chan struct{})}
}

// Apply adds records that were read in order from the log, up to next. Records of an era before the replica's are ignored,
// because the log may have lost them when it was restored.
func (r *Replica) Apply(records []Record, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if Era(next) < Era(r.next) {
		return
	}
	hasChanged := false
	for _, rec := range records {
		hasChanged = r.apply(rec) || hasChanged
	}
	r.next = max(r.next, next)
	if hasChanged {
		r.signal()
	}
}

func (r *Replica) apply(rec Record) bool {
	old, known := r.records[rec.Key]
	if known && rec.Offset <= old.Offset {
		return false
	}
	if len(rec.Value) == 0 { // also for an unknown key, which followers of this replica may have
		delete(r.records, rec.Key)
		r.recordRemoval(rec)
		return true
	}
	if known && !r.isChange(rec.Key, old.Value, rec.Value) {
		return false
	}
	r.records[rec.Key] = rec
	return true
}

func (r *Replica) recordRemoval(rec Record) {
	r.removals = append(r.removals, rec)
	if len(r.removals) > maxRemovals {
		r.oldest = max(r.oldest, r.removals[0].Offset+1)
		r.removals = r.removals[1:]
	}
}

// LoadListing replaces the state with a listing of the whole topic up to end. Removals before end are not known, so
// followers that are behind end must read the whole topic again. A listing of an era before the replica's is ignored.
func (r *Replica) LoadListing(records []Record, end uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if Era(end) < Era(r.next) {
		return
	}
	clear(r.records)
	r.removals = nil
	r.oldest, r.listed = end, true
	r.next = end // even if later records were listed: records between end and those may be missing
	for _, rec := range records {
		r.records[rec.Key] = rec
	}
	r.signal()
}

// signal closes the channel returned by Changed. The caller holds mu.
func (r *Replica) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// IsListed reports whether a listing of the whole topic was loaded.
func (r *Replica) IsListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// ChangesSince returns the changes from an offset on, in order, and the offset up to which they are complete. It returns
// false if the removals since that offset are no longer known.
func (r *Replica) ChangesSince(from uint64) (changes []Record, next uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed || from < r.oldest {
		return nil, 0, false
	}
	for _, rec := range r.records {
		if rec.Offset >= from {
			changes = append(changes, rec)
		}
	}
	for _, rec := range r.removals {
		if _, isPresent := r.records[rec.Key]; rec.Offset >= from && !isPresent {
			changes = append(changes, rec)
		}
	}
	sortByOffset(changes)
	return changes, max(r.next, from), true
}

// All returns the newest record of every key and the offset to continue from.
func (r *Replica) All() (records []Record, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range r.records {
		records = append(records, rec)
	}
	sortByOffset(records)
	return records, r.next
}

func sortByOffset(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
}
