// Package quarantiner finds out what crashes engines: a whole request, or a part that the prompts of many requests share.
//
// Hosts report the ends of engines, with the requests that were running there, and merge what all of them have seen. A
// cause is convicted by the ends of several incarnations of engines and must not run again. Output on a part acquits it.
// The verdict depends on the merged evidence only, so that hosts with the same evidence agree.
//
// It is designed for requests that share one part and end each engine which begins to write an answer on it, at any host and at
// any rate, while sound requests share their other parts and run on the same engines, and engines end for other reasons.
package quarantiner

import (
	"time"
)

// Kind is the kind of a cause.
type Kind int

// The kinds of causes.
const (
	// Request is a whole request: its method, host, target and body.
	Request Kind = iota
	// Part is a part that the prompts of several requests share.
	Part
)

func (k Kind) String() string { return [...]string{"request", "part"}[k] }

// Cause is what may have crashed an engine.
type Cause struct {
	Kind Kind
	ID   uint64
}

// Engine is one incarnation of an engine.
type Engine struct {
	ID    string
	Start int64
}

// Blame names a cause that an end of an engine may have. Depth is the position of a part in its prompt, from 0.
type Blame struct {
	Cause
	Depth int
}

// End is what hosts have seen of the end of an engine.
type End struct {
	Engine Engine
	At     time.Time
	// Expires is when the end is discarded.
	Expires time.Time
	// Witnesses are the hosts that found the engine ended, Deniers those that reached it nevertheless.
	Witnesses []string
	Deniers   []string
	// Blames are the requests that were running on the engine, and the parts on which it had not written anything.
	Blames []Blame
}

// Acquittal tells that an engine has written output on a part, or completed a request.
type Acquittal struct {
	Cause Cause
	At    time.Time
}

// Evidence is what one host tells another.
type Evidence struct {
	Ends       []End
	Acquittals []Acquittal
}

// Config holds the limits of a Quarantine.
type Config struct {
	// RequestLimit is the number of ends that convict a request, PartLimit that for a part.
	RequestLimit int
	PartLimit    int
	// BurstLimit is the number of ends that convict a part although they came in one burst. Ends within BurstTime of the first
	// one are a burst, which may have a cause beyond the requests.
	BurstLimit int
	BurstTime  time.Duration
	// Retention is how long an end counts, and how long a verdict lasts after the last request that it stopped.
	Retention time.Duration
	// AcquittalTime is how long output on a part protects it from being blamed for later ends.
	AcquittalTime time.Duration
}

const (
	// maxEnds bounds the ends that are kept; the oldest are discarded first.
	maxEnds = 64
	// maxBlames bounds the causes that one end is blamed on.
	maxBlames = 128
	// maxWitnesses bounds the hosts that are kept for one end.
	maxWitnesses = 8
	// minWitnesses is the number of hosts that must have seen an end, unless there are fewer.
	minWitnesses = 2
	// maxFormer bounds the causes of former verdicts that are kept.
	maxFormer = 1024
	// formerLimit is the number of ends that convict a part which was convicted before.
	formerLimit = 1
)

// Quarantine holds the evidence of one host. It is not safe for concurrent use.
type Quarantine struct {
	cfg        Config
	hosts      int
	answerTime time.Duration
	ends       map[Engine]*record
	acquitted  acquittals
	// verdicts holds the time from which on a cause is convicted.
	verdicts map[Cause]time.Time
	// former holds the causes whose verdicts have ended.
	former map[Cause]bool
}

// New returns an empty Quarantine.
func New(cfg Config) *Quarantine {
	return &Quarantine{
		cfg: cfg, hosts: 1, ends: make(map[Engine]*record), acquitted: newAcquittals(cfg.AcquittalTime, cfg.Retention+cfg.AcquittalTime),
		verdicts: make(map[Cause]time.Time), former: make(map[Cause]bool),
	}
}

// SetHosts sets the number of hosts, and how long they may take to acquit a part before it is convicted. Two of them must have
// seen the end of an engine before it counts against a part, so that a host which alone has lost its contact to engines
// convicts nothing.
func (q *Quarantine) SetHosts(now time.Time, n int, answerTime time.Duration) {
	isChanged := n != q.hosts
	q.hosts, q.answerTime = n, answerTime
	if isChanged && len(q.ends) > 0 {
		q.judge(now)
	}
}

// IsEmpty reports whether there is no evidence.
func (q *Quarantine) IsEmpty() bool { return len(q.ends) == 0 }

// Observe merges an end that this host or another one has seen. It returns false if nothing of it was new.
func (q *Quarantine) Observe(now time.Time, e End) bool {
	return q.Merge(now, Evidence{Ends: []End{e}})
}

// Merge merges the evidence of another host. It returns false if nothing of it was new.
func (q *Quarantine) Merge(now time.Time, e Evidence) bool {
	q.expire(now)
	isNew := false
	for _, a := range e.Acquittals {
		isNew = q.acquitted.contest(now, a.Cause, a.At) || isNew
	}
	for _, end := range e.Ends {
		isNew = q.observe(now, end) || isNew
	}
	if isNew {
		q.judge(now)
	}
	return isNew
}

// Confirm records that a host knows that all incarnations of an engine so far have ended, without a report of its own.
func (q *Quarantine) Confirm(now time.Time, engineID, witness string) {
	isNew := false
	for _, e := range q.ends {
		if e.Engine.ID == engineID {
			isNew = union(&e.Witnesses, []string{witness}, maxWitnesses) || isNew
		}
	}
	if isNew {
		q.judge(now)
	}
}

// RecordOutput acquits the parts of a prompt on which an engine has written output. It returns those that are blamed for an end,
// of which other hosts should know.
func (q *Quarantine) RecordOutput(now time.Time, parts ...Cause) []Acquittal {
	var contested []Acquittal
	for _, c := range parts {
		q.acquitted.addOwn(now, c)
		contested = append(contested, q.acquit(now, c)...)
	}
	if len(contested) > 0 {
		q.judge(now)
	}
	return contested
}

// RecordCompletion acquits a request that has completed of the ends before, unless it is convicted. It returns the acquittal if other
// hosts should know of it.
func (q *Quarantine) RecordCompletion(now time.Time, c Cause) []Acquittal {
	if len(q.ends) == 0 || q.IsConvicted(now, c) {
		return nil
	}
	return q.acquit(now, c)
}

// acquit acquits a cause that is blamed for an end.
func (q *Quarantine) acquit(now time.Time, c Cause) []Acquittal {
	if !q.isCharged(c) || !q.acquitted.contest(now, c, now) {
		return nil
	}
	return []Acquittal{{Cause: c, At: now}}
}

// isCharged reports whether an end counts against a cause, or would if another host had seen it, too.
func (q *Quarantine) isCharged(c Cause) bool {
	for _, e := range q.ends {
		if e.isBlamedOn(c) && !q.isAcquitted(c, e.At) {
			return true
		}
	}
	return false
}

// isAcquitted reports whether a cause is known not to have caused an end.
func (q *Quarantine) isAcquitted(c Cause, end time.Time) bool {
	at, ok := q.acquitted.contested[c]
	return ok && q.protects(Acquittal{Cause: c, At: at}, end)
}

// OwnAcquittals returns what this host itself knows in favour of the parts that the end of an engine is blamed on.
func (q *Quarantine) OwnAcquittals(now time.Time, e End) []Acquittal {
	var list []Acquittal
	for _, b := range e.Blames {
		at, ok := q.acquitted.own(now, b.Cause)
		if a := (Acquittal{Cause: b.Cause, At: at}); ok && q.protects(a, e.At) {
			list = append(list, a)
		}
	}
	return list
}

// Unacquitted returns the causes of an end without those that are known not to be its cause.
func (q *Quarantine) Unacquitted(e End) []Blame {
	var list []Blame
	for _, b := range e.Blames {
		if !q.isAcquitted(b.Cause, e.At) {
			list = append(list, b)
		}
	}
	return list
}

// protects reports whether an acquittal rules a cause out for an end. Output on a part protects it for a while; a request that
// completes may crash the next engine with other luck.
func (q *Quarantine) protects(a Acquittal, end time.Time) bool {
	if a.Cause.Kind == Request {
		return a.At.After(end)
	}
	return a.At.After(end.Add(-q.cfg.AcquittalTime))
}

// IsSuspect reports whether an engine ended while a request with the cause was running on it.
func (q *Quarantine) IsSuspect(c Cause) bool { return q.Crashes(c) > 0 }

// Crashes returns the number of ends that count against a cause.
func (q *Quarantine) Crashes(c Cause) int {
	n := 0
	for _, e := range q.ends {
		if q.counts(e, c) {
			n++
		}
	}
	return n
}

// Blamed returns the number of ends that a cause is blamed for, acquitted or not.
func (q *Quarantine) Blamed(c Cause) int {
	n := 0
	for _, e := range q.ends {
		if e.isBlamedOn(c) {
			n++
		}
	}
	return n
}

// IsConvicted reports whether requests with one of the causes must not run. Verdicts last for as long as such requests come.
func (q *Quarantine) IsConvicted(now time.Time, causes ...Cause) bool {
	if len(q.ends) == 0 {
		return false
	}
	q.expire(now)
	isConvicted := false
	for _, c := range causes {
		from, ok := q.verdicts[c]
		if !ok || now.Before(from) {
			continue
		}
		isConvicted = true
		for _, e := range q.ends {
			if e.isBlamedOn(c) {
				e.Expires = now.Add(q.cfg.Retention)
			}
		}
	}
	return isConvicted
}

// Verdicts returns the causes that are convicted.
func (q *Quarantine) Verdicts(now time.Time) []Cause {
	var list []Cause
	for c, from := range q.verdicts {
		if !now.Before(from) {
			list = append(list, c)
		}
	}
	return list
}
