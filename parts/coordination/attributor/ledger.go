package attributor

import (
	"container/list"
	"slices"
	"time"
)

const (
	// originLifetime is how long the origin of a stream is kept. A stream that is resumed later has no known origin.
	originLifetime = time.Minute
	// maxOrigins bounds the number of origins; the oldest are dropped.
	maxOrigins = 1 << 17
)

// Key identifies a stream: it is a hash of the request that began it.
type Key uint64

type entry struct {
	key Key
	// origins holds more than one origin if hosts disagree. The stream's origin is not known then.
	origins []Origin
	addedAt time.Time
}

// Ledger holds the origins of recent streams. It is not safe for concurrent use.
type Ledger struct {
	byKey map[Key]*list.Element
	// byAge holds the origins, the oldest first.
	byAge *list.List
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{byKey: make(map[Key]*list.Element), byAge: list.New()} }

// Add records the origin of a stream. It returns false if it is known already.
func (l *Ledger) Add(now time.Time, k Key, o Origin) bool {
	l.expire(now)
	if e := l.byKey[k]; e != nil {
		known := e.Value.(*entry)
		if slices.Contains(known.origins, o) {
			return false
		}
		known.origins = append(known.origins, o)
		return true
	}
	l.byKey[k] = l.byAge.PushBack(&entry{key: k, origins: []Origin{o}, addedAt: now})
	return true
}

// Find returns the origin of a stream, false if it is not known.
func (l *Ledger) Find(k Key) (Origin, bool) {
	if origins := l.Origins(k); len(origins) == 1 {
		return origins[0], true
	}
	return Origin{}, false
}

// IsDoubtful reports whether several origins were added for a stream.
func (l *Ledger) IsDoubtful(k Key) bool { return len(l.Origins(k)) > 1 }

// Origins returns all origins that were added for a stream.
func (l *Ledger) Origins(k Key) []Origin {
	if e := l.byKey[k]; e != nil {
		return e.Value.(*entry).origins
	}
	return nil
}

// Keys returns the streams of a service, the oldest first.
func (l *Ledger) Keys(now time.Time, service string) []Key {
	l.expire(now)
	var keys []Key
	for e := l.byAge.Front(); e != nil; e = e.Next() {
		known := e.Value.(*entry)
		if slices.ContainsFunc(known.origins, func(o Origin) bool { return o.Service == service }) {
			keys = append(keys, known.key)
		}
	}
	return keys
}

func (l *Ledger) expire(now time.Time) {
	for e := l.byAge.Front(); e != nil; e = l.byAge.Front() {
		known := e.Value.(*entry)
		if l.byAge.Len() <= maxOrigins && now.Sub(known.addedAt) <= originLifetime {
			return
		}
		delete(l.byKey, known.key)
		l.byAge.Remove(e)
	}
}
