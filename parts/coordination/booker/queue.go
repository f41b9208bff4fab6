package booker

import "time"

// Queue predicts when an engine that reads one prompt after the other is free. It is not safe for concurrent use.
type Queue struct {
	freeAt time.Time
}

// Take adds work to the queue if it ends by latest, and returns how long it waits before it begins.
func (q *Queue) Enqueue(now time.Time, work time.Duration, latest time.Time) (wait time.Duration, ok bool) {
	begin := now
	if q.freeAt.After(now) {
		begin = q.freeAt
	}
	end := begin.Add(work)
	if end.After(latest) {
		return begin.Sub(now), false
	}
	q.freeAt = end
	return begin.Sub(now), true
}

// Give takes work off the queue that will not be done.
func (q *Queue) Remove(work time.Duration) { q.freeAt = q.freeAt.Add(-work) }
