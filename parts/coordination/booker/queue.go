package booker

import "time"

// Queue predicts when an engine that processes one prompt at a time becomes free. It is not safe for concurrent use.
type Queue struct {
	freeAt time.Time
}

// Enqueue adds work if it is predicted to end by latest, and returns its waiting time in any case.
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

// Remove takes back enqueued work that is not going to be run.
func (q *Queue) Remove(work time.Duration) { q.freeAt = q.freeAt.Add(-work) }
