package quarantiner

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxAcquittals bounds the parts that are remembered in one period of the acquittal time, and those with evidence.
	maxAcquittals = 1 << 14
	// maxSilence bounds the time without output for which a host vouches for parts that were in use before.
	maxSilence = time.Minute
	// maxSentAcquittals bounds the acquittals that one host sends to another; the newest are sent.
	maxSentAcquittals = 128
)

// acquittals remembers the parts with output: the recent ones in two generations, and those that were blamed for an end for as
// long as the end counts.
type acquittals struct {
	period    time.Duration
	retention time.Duration
	recent    map[Cause]time.Time
	older     map[Cause]time.Time
	rotated   time.Time
	// newest is the time of the newest output that passed through this host.
	newest    time.Time
	contested map[Cause]time.Time
}

func newAcquittals(period, retention time.Duration) acquittals {
	return acquittals{
		period: period, retention: retention, recent: make(map[Cause]time.Time), older: make(map[Cause]time.Time),
		contested: make(map[Cause]time.Time),
	}
}

// addOwn records output that passed through this host.
func (l *acquittals) addOwn(now time.Time, c Cause) {
	l.newest = now
	if now.Sub(l.rotated) >= l.period {
		l.rotated = now
		l.older, l.recent = l.recent, make(map[Cause]time.Time, len(l.recent))
	}
	if _, ok := l.recent[c]; ok || len(l.recent) < maxAcquittals {
		l.recent[c] = now
	}
}

// own returns the newest output on a part that passed through this host lately. The time in which it saw no output at all does not
// count: if all engines are down, nothing speaks against the parts that were in use before.
func (l *acquittals) own(now time.Time, c Cause) (time.Time, bool) {
	at, ok := l.recent[c]
	if !ok {
		at, ok = l.older[c]
	}
	return at.Add(min(maxSilence, now.Sub(l.newest))), ok
}

// contest keeps an acquittal of a part that is blamed for an end. It returns false if a newer one is kept.
func (l *acquittals) contest(now time.Time, c Cause, at time.Time) bool {
	known, ok := l.contested[c]
	if ok && !at.After(known) {
		return false
	}
	if !ok && len(l.contested) >= maxAcquittals {
		maps.DeleteFunc(l.contested, func(_ Cause, at time.Time) bool { return now.Sub(at) > l.retention })
		if len(l.contested) >= maxAcquittals {
			return false
		}
	}
	l.contested[c] = at
	return true
}

// newestContested returns the newest acquittals of parts that are blamed.
func (l *acquittals) newestContested(now time.Time) []Acquittal {
	var list []Acquittal
	for c, at := range l.contested {
		if now.Sub(at) <= l.retention {
			list = append(list, Acquittal{Cause: c, At: at})
		}
	}
	slices.SortFunc(list, func(a, b Acquittal) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxSentAcquittals)]
}
