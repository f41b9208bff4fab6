// Package replicator keeps the newest record of each key of a log, so that a host can serve others who follow the log.
//
// Records that say nothing new are left out: a follower gets changes, not every heartbeat of an unchanged entry. Offsets
// are those of the log, so a follower can go on at another replica, or at the log itself, from where it is.
package replicator

import (
	"cmp"
	"slices"
	"sync"
)

// maxRemoved bounds the removed keys that are remembered. Followers that are further behind read everything anew.
const maxRemovals = 1024

// Record is one record of a keyed topic. An empty Value removes the key. Offset is the record's Position.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Replica is the newest state of one topic. It is safe for concurrent use.
type Replica struct {
	isChange func(key string, old, value []byte) bool
	mu       sync.Mutex
	records  map[string]Record
	removals []Record
	// first is the offset from which on changes can be told.
	oldest  uint64
	next    uint64
	listed  bool
	changed chan struct{}
}

// New returns a replica that knows nothing. A record for which isNews does not hold replaces none.
func New(isNews func(key string, old, value []byte) bool) *Replica {
	return &Replica{isChange: isNews, records: make(map[string]Record), changed: make(chan struct{})}
}

// Take takes in records that were read in their order, up to next. Those of an era before the replica's are left out: they
// may have been lost since.
func (r *Replica) Apply(records []Record, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if Era(next) < Era(r.next) {
		return
	}
	isChanged := false
	for _, rec := range records {
		isChanged = r.apply(rec) || isChanged
	}
	r.next = max(r.next, next)
	if isChanged {
		r.signal()
	}
}

func (r *Replica) apply(rec Record) bool {
	old, known := r.records[rec.Key]
	if known && rec.Offset <= old.Offset {
		return false
	}
	if len(rec.Value) == 0 { // also of an unknown key: followers of this replica may know it
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

// List takes in the whole topic as it was listed, up to end. What was removed meanwhile is not known, so followers that
// are behind end read everything anew. A list of an era before the replica's is left out.
func (r *Replica) LoadListing(records []Record, end uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if Era(end) < Era(r.next) {
		return
	}
	clear(r.records)
	r.removals = nil
	r.oldest, r.listed = end, true
	r.next = end // also if later records were listed: others before them may be missing
	for _, rec := range records {
		r.records[rec.Key] = rec
	}
	r.signal()
}

// signal wakes those who wait for a change. The caller holds mu.
func (r *Replica) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// IsListed tells whether the whole topic is known.
func (r *Replica) IsListed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// Since returns the changes from an offset on, in their order, and the offset up to which they are whole. It returns
// false if they can no longer be told.
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
		if _, isBack := r.records[rec.Key]; rec.Offset >= from && !isBack {
			changes = append(changes, rec)
		}
	}
	sortByOffset(changes)
	return changes, max(r.next, from), true
}

// All returns the newest record of every key and the offset to go on from.
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
