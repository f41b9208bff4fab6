// Package quarantiner finds requests that crash the engines that run them.
//
// Every request running on an engine that dies becomes a suspect. A suspect that finishes is cleared; a suspect that
// sees as many engines die as are allowed is convicted.
package quarantiner

import "time"

// Suspect is what is known of a request's fingerprint.
type Suspect struct {
	Fingerprint uint64
	Crashes     int
	LastCrash   time.Time
}

// Quarantine counts deaths per fingerprint. It is not safe for concurrent use.
type Quarantine struct {
	retention  time.Duration
	crashLimit int
	suspects   map[uint64]Suspect
}

// New returns an empty Quarantine that convicts after deaths engines and forgets a suspect keep after its last death.
func New(keep time.Duration, deaths int) *Quarantine {
	return &Quarantine{retention: keep, crashLimit: deaths, suspects: make(map[uint64]Suspect)}
}

// Died counts an engine's death against the request and returns the new count.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint uint64) Suspect {
	q.evictExpired(now)
	s := q.suspects[fingerprint]
	s = Suspect{Fingerprint: fingerprint, Crashes: s.Crashes + 1, LastCrash: now}
	q.suspects[fingerprint] = s
	return s
}

// Learn takes another host's count if it is higher. A count learned from elsewhere may only raise the own one.
func (q *Quarantine) MergeCount(now time.Time, fingerprint uint64, deaths int) {
	q.evictExpired(now)
	if s := q.suspects[fingerprint]; deaths > s.Crashes {
		q.suspects[fingerprint] = Suspect{Fingerprint: fingerprint, Crashes: deaths, LastCrash: now}
	}
}

// Finished clears the request unless it is convicted.
func (q *Quarantine) RecordCompletion(fingerprint uint64) {
	if q.suspects[fingerprint].Crashes < q.crashLimit {
		delete(q.suspects, fingerprint)
	}
}

// IsSuspect tells whether an engine died under the request.
func (q *Quarantine) IsSuspect(fingerprint uint64) bool { return q.suspects[fingerprint].Crashes > 0 }

// IsConvicted tells whether the request may not run again.
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
