package quarantiner

import (
	"maps"
	"slices"
	"time"
)

// record is an end as it is kept, with the depth of each cause.
type record struct {
	End
	blames map[Cause]int
}

// observe merges an end without judging it.
func (q *Quarantine) observe(now time.Time, e End) bool {
	known := q.ends[e.Engine]
	if known == nil {
		known = &record{End: End{Engine: e.Engine, At: e.At, Expires: now.Add(q.cfg.Retention)}, blames: make(map[Cause]int)}
		if !e.Expires.IsZero() {
			known.Expires = e.Expires
		}
		q.ends[e.Engine] = known
		q.evictOldest()
	}
	if e.Expires.After(known.Expires) {
		known.Expires = e.Expires
	}
	isNew := e.At.Before(known.At) // a message may have been held up
	if isNew {
		known.At = e.At
	}
	isNew = union(&known.Witnesses, e.Witnesses, maxWitnesses) || isNew
	isNew = union(&known.Deniers, e.Deniers, maxWitnesses) || isNew
	isNew = known.blame(e.Blames) || isNew
	e.At = known.At
	for _, a := range q.OwnAcquittals(now, e) {
		q.acquitted.contest(now, a.Cause, a.At)
	}
	return isNew
}

// blame adds causes to an end. It returns false if all of them are known.
func (r *record) blame(list []Blame) bool {
	isNew := false
	for _, b := range list {
		depth, ok := r.blames[b.Cause]
		if (!ok && len(r.blames) < maxBlames) || (ok && b.Depth > depth) {
			r.blames[b.Cause] = b.Depth
			isNew = true
		}
	}
	return isNew
}

// union adds the new elements of b to a, up to a length of limit.
func union[T comparable](a *[]T, b []T, limit int) bool {
	isNew := false
	for _, v := range b {
		if len(*a) < limit && !slices.Contains(*a, v) {
			*a = append(*a, v)
			isNew = true
		}
	}
	return isNew
}

func (r *record) isBlamedOn(c Cause) bool {
	_, ok := r.blames[c]
	return ok
}

// Evidence returns what another host should know: the ends, without the parts that were acquitted, and these acquittals.
func (q *Quarantine) Evidence(now time.Time) Evidence {
	q.expire(now)
	var ev Evidence
	for _, e := range q.ends {
		sent := e.End
		for c, depth := range e.blames {
			if !q.isAcquitted(c, e.At) {
				sent.Blames = append(sent.Blames, Blame{Cause: c, Depth: depth})
			}
		}
		if len(sent.Blames) > 0 {
			ev.Ends = append(ev.Ends, sent)
		}
	}
	ev.Acquittals = q.acquitted.newestContested(now)
	return ev
}

// expire discards the ends whose time has passed.
func (q *Quarantine) expire(now time.Time) {
	n := len(q.ends)
	maps.DeleteFunc(q.ends, func(_ Engine, e *record) bool { return now.After(e.Expires) })
	if len(q.ends) < n {
		q.judge(now)
	}
}

func (q *Quarantine) evictOldest() {
	if len(q.ends) <= maxEnds {
		return
	}
	var oldest *record
	for _, e := range q.ends {
		if oldest == nil || e.Expires.Before(oldest.Expires) {
			oldest = e
		}
	}
	delete(q.ends, oldest.Engine)
}
