package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// charge is the evidence against one cause.
type charge struct {
	Blame
	ends []*record
}

// judge decides anew which causes are convicted.
//
// An end has one cause. Requests with a part that crashes engines hold other parts, too, so several causes are blamed for the same
// ends. The most specific one is convicted first: a request before parts, and of parts the deepest one, which the fewest
// requests share. The ends that it explains do not count against the others.
func (q *Quarantine) judge(now time.Time) {
	guilty := make(map[Cause]bool)
	explained := make(map[Engine]bool)
	for {
		worst, ok := q.mostSpecific(q.charges(explained), guilty)
		if !ok {
			break
		}
		guilty[worst.Cause] = true
		for _, e := range worst.ends {
			explained[e.Engine] = true
		}
	}
	for c, from := range q.verdicts {
		if guilty[c] {
			continue
		}
		delete(q.verdicts, c)
		if at, ok := q.acquitted.contested[c]; (!ok || at.Before(from)) && now.After(from) && len(q.former) < maxFormer {
			q.former[c] = true
		}
	}
	for c := range guilty {
		if _, ok := q.verdicts[c]; ok {
			continue
		}
		q.verdicts[c] = now
		if c.Kind == Part {
			q.verdicts[c] = now.Add(q.answerTime)
		}
	}
}

// charges collects the evidence against each cause from the ends that are not explained.
func (q *Quarantine) charges(explained map[Engine]bool) map[Cause]*charge {
	charges := make(map[Cause]*charge)
	for _, e := range q.ends {
		if explained[e.Engine] {
			continue
		}
		for cause, depth := range e.blames {
			if !q.counts(e, cause) {
				continue
			}
			c := charges[cause]
			if c == nil {
				c = &charge{Blame: Blame{Cause: cause}}
				charges[cause] = c
			}
			c.Depth = max(c.Depth, depth)
			c.ends = append(c.ends, e)
		}
	}
	return charges
}

// counts reports whether an end counts against a cause.
func (q *Quarantine) counts(e *record, c Cause) bool {
	if !e.isBlamedOn(c) {
		return false
	}
	if c.Kind == Request {
		return true
	}
	if len(e.Witnesses) < min(minWitnesses, q.hosts) || len(e.Witnesses) <= len(e.Deniers) {
		return false
	}
	at, ok := q.acquitted.contested[c]
	return !ok || !q.protects(at, e.At)
}

// mostSpecific returns the most specific charge that suffices for a verdict.
func (q *Quarantine) mostSpecific(charges map[Cause]*charge, guilty map[Cause]bool) (*charge, bool) {
	sufficient := slices.Collect(maps.Values(charges))
	sufficient = slices.DeleteFunc(sufficient, func(c *charge) bool { return guilty[c.Cause] || !q.isSufficient(c) })
	if len(sufficient) == 0 {
		return nil, false
	}
	return slices.MaxFunc(sufficient, func(a, b *charge) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(len(a.ends), len(b.ends)), cmp.Compare(a.ID, b.ID))
	}), true
}

func (c *charge) rank() int {
	if c.Kind == Request {
		return math.MaxInt
	}
	return c.Depth
}

// isSufficient reports whether the evidence against a cause is enough for a verdict.
func (q *Quarantine) isSufficient(c *charge) bool {
	n := len(c.ends)
	switch {
	case c.Kind == Request:
		return n >= q.cfg.RequestLimit
	case q.former[c.Cause]:
		return n >= formerLimit
	case n >= q.cfg.BurstLimit:
		return true
	}
	first, last := c.ends[0].At, c.ends[0].At
	for _, e := range c.ends {
		if e.At.Before(first) {
			first = e.At
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	return n >= q.cfg.PartLimit && last.Sub(first) >= q.cfg.BurstTime
}
