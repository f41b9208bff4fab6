// Package quarantiner identifies requests that crash the engines that run them.
//
// Every request running on an engine when it crashes becomes a suspect. A suspect that completes is cleared; a suspect
// that was running during as many crashes as the limit allows is convicted and must not run again.
package quarantiner

import "time"

// Suspect is the crash count of the requests with one fingerprint.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	LastCrash   time.Time
}

// Quarantine counts engine crashes per request fingerprint. It is not safe for concurrent use.
type Quarantine struct {
	retention  time.Duration
	crashLimit int
	suspects   map[uint64]Suspect
}

// New returns an empty Quarantine. A request is convicted at crashLimit crashes and its count is discarded when its last
// crash is longer ago than retention.
func New(retention time.Duration, crashLimit int) *Quarantine {
	return &Quarantine{retention: retention, crashLimit: crashLimit, suspects: make(map[uint64]Suspect)}
}

// RecordCrash counts an engine crash against a request that was running on it, and returns the new count.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint uint64) Suspect {
	q.evictExpired(now)
	s := q.suspects[fingerprint]
	s = Suspect{Fingerprint: fingerprint, Crashes: s.Crashes + 1, LastCrash: now}
	q.suspects[fingerprint] = s
	return s
}

// MergeCount adopts the count of another host if it is higher than the local one.
func (q *Quarantine) MergeCount(now time.Time, fingerprint uint64, crashes int) {
	q.evictExpired(now)
	if s := q.suspects[fingerprint]; crashes > s.Crashes {
		q.suspects[fingerprint] = Suspect{Fingerprint: fingerprint, Crashes: crashes, LastCrash: now}
	}
}

// RecordCompletion clears the request unless it is convicted.
func (q *Quarantine) RecordCompletion(fingerprint uint64) {
	if q.suspects[fingerprint].Crashes < q.crashLimit {
		delete(q.suspects, fingerprint)
	}
}

// IsSuspect reports whether an engine crashed while the request was running on it.
func (q *Quarantine) IsSuspect(fingerprint uint64) bool { return q.suspects[fingerprint].Crashes > 0 }

// IsConvicted reports whether the request reached the crash limit.
func (q *Quarantine) IsConvicted(fingerprint uint64) bool {
	return q.suspects[fingerprint].Crashes >= q.crashLimit
}

func (q *Quarantine) evictExpired(now time.Time) {
	for f, s := range q.suspects {
		if now.Sub(s.LastCrash) > q.retention {
			delete(q.suspects, f)
		}
	}
}
