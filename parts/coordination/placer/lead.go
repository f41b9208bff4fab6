package placer

import (
	"maps"
	"math"
	"time"
)

const (
	// leadWeight is the part that the newest first event has in the moving averages.
	delayWeight = 0.1
	// leadSafety is the number of mean deviations that are allowed for: a request that is placed at its last moment and
	// then comes late has taken the place of one in time.
	deviationFactor = 1.5
	// forgetAfter is how long after its predicted time a first event is still waited for; requests live less long.
	predictionLifetime = time.Minute
)

// lead is how much later than predicted first events come, in seconds.
type startDelay struct {
	mean      float64
	deviation float64
	// predicted are the times at which places were to begin.
	predicted map[string]time.Time
}

func newStartDelay() startDelay { return startDelay{predicted: make(map[string]time.Time)} }

// began learns from a first event.
func (l *startDelay) record(now time.Time, id string) {
	at, ok := l.predicted[id]
	if !ok {
		return
	}
	delete(l.predicted, id)
	late := now.Sub(at).Seconds()
	l.deviation += delayWeight * (math.Abs(late-l.mean) - l.deviation)
	l.mean += delayWeight * (late - l.mean)
}

// forget has first events of all places so far teach nothing.
func (l *startDelay) reset() { clear(l.predicted) }

// expire forgets places whose hosts went without a word.
func (l *startDelay) expire(now time.Time) {
	maps.DeleteFunc(l.predicted, func(_ string, at time.Time) bool { return now.Sub(at) > predictionLifetime })
}

// beyond returns what to allow for beyond the prediction.
func (l *startDelay) margin() time.Duration {
	return time.Duration(max(0, l.mean+deviationFactor*l.deviation) * float64(time.Second))
}

// setOnTime works out until when each request must have a place for its first event to come in time.
func (s *search) setTargetStarts(list []Request) {
	beyond := s.leastBacklog() + s.startDelay.margin()
	perToken := s.prefillLoad.MeanPrefillTime(1)
	for i, r := range list {
		list[i].TargetStart = r.FirstEventDeadline.Add(-beyond - time.Duration(r.Prompt)*perToken)
	}
}

// leastBacklog returns how long the first of the reading engines will be busy.
func (s *search) leastBacklog() time.Duration {
	least := time.Duration(-1)
	for _, e := range s.prefillEngines {
		if backlog := s.prefillLoad.Backlog(s.now, e.ID); least < 0 || backlog < least {
			least = backlog
		}
	}
	return max(least, 0)
}
