package quarantiner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// charge is the evidence against one cause. Moments counts the bursts of ends that it was blamed for.
type charge struct {
	Blame
	ends    []*record
	moments int
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

// charges collects the evidence against each cause from the ends that are not explained. If engines end in a burst and most of
// them without a part, something else ended them.
func (q *Quarantine) charges(explained map[Engine]bool) map[Cause]*charge {
	charges := make(map[Cause]*charge)
	for _, burst := range q.bursts(explained) {
		blamed := make(map[Cause][]*record)
		for _, e := range burst {
			for cause := range e.blames {
				if q.counts(e, cause) {
					blamed[cause] = append(blamed[cause], e)
				}
			}
		}
		for cause, ends := range blamed {
			if cause.Kind == Part && 2*len(ends) < len(burst) {
				continue
			}
			c := charges[cause]
			if c == nil {
				c = &charge{Blame: Blame{Cause: cause}}
				charges[cause] = c
			}
			c.moments++
			c.ends = append(c.ends, ends...)
			for _, e := range ends {
				c.Depth = max(c.Depth, e.blames[cause])
			}
		}
	}
	return charges
}

// bursts groups the ends that are not explained by their time.
func (q *Quarantine) bursts(explained map[Engine]bool) [][]*record {
	var ends []*record
	for _, e := range q.ends {
		if !explained[e.Engine] {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b *record) int { return a.At.Compare(b.At) })
	var bursts [][]*record
	for _, e := range ends {
		if last := len(bursts) - 1; last >= 0 && e.At.Sub(bursts[last][0].At) < q.cfg.BurstTime {
			bursts[last] = append(bursts[last], e)
			continue
		}
		bursts = append(bursts, []*record{e})
	}
	return bursts
}

// counts reports whether an end counts against a cause.
func (q *Quarantine) counts(e *record, c Cause) bool {
	if !e.isBlamedOn(c) || q.isAcquitted(c, e.At) {
		return false
	}
	if c.Kind == Request {
		return true
	}
	return len(e.Witnesses) >= min(minWitnesses, q.hosts) && len(e.Witnesses) >= len(e.Deniers)
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
	}
	return n >= q.cfg.BurstLimit || (n >= q.cfg.PartLimit && c.moments > 1)
}
