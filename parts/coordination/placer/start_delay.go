package placer

import (
	"maps"
	"math"
	"time"
)

const (
	// delayWeight is the weight of the newest first event in the moving averages.
	delayWeight = 0.1
	// deviationFactor is the number of mean deviations in the margin. Without it, requests placed at the last moment come
	// late, and displace others that could have met their targets.
	deviationFactor = 1.5
	// predictionLifetime is how long after its predicted time a first event is still expected. Requests take less long.
	predictionLifetime = time.Minute
)

// startDelay measures how much later than predicted first events arrive, in seconds.
type startDelay struct {
	mean      float64
	deviation float64
	// predicted holds, by request, the predicted time of the first event.
	predicted map[string]time.Time
}

func newStartDelay() startDelay { return startDelay{predicted: make(map[string]time.Time)} }

// record updates the averages with the first event of a request.
func (s *startDelay) record(now time.Time, id string) {
	predicted, ok := s.predicted[id]
	if !ok {
		return
	}
	delete(s.predicted, id)
	late := now.Sub(predicted).Seconds()
	s.deviation += delayWeight * (math.Abs(late-s.mean) - s.deviation)
	s.mean += delayWeight * (late - s.mean)
}

// reset drops all pending predictions, and keeps the averages.
func (s *startDelay) reset() { clear(s.predicted) }

// expire drops the predictions of requests whose hosts have stopped reporting.
func (s *startDelay) expire(now time.Time) {
	maps.DeleteFunc(s.predicted, func(_ string, at time.Time) bool { return now.Sub(at) > predictionLifetime })
}

// margin returns the time to allow for beyond a prediction.
func (s *startDelay) margin() time.Duration {
	return time.Duration(max(0, s.mean+deviationFactor*s.deviation) * float64(time.Second))
}

// setTargetStarts computes the latest time at which each request must be placed to meet its first event deadline, and the
// tokens of its prompt that are probably cached.
func (s *search) setTargetStarts(list []Request) {
	margin := s.leastBacklog() + s.startDelay.margin()
	perToken := s.prefillLoad.MeanPrefillTime(1)
	for i, r := range list {
		list[i].cached = s.prefixes.expectMean(r)
		list[i].TargetStart = r.FirstEventDeadline.Add(-margin - time.Duration(r.Prompt-list[i].cached)*perToken)
	}
}

// leastBacklog returns the time until the first of the prefill engines is idle.
func (s *search) leastBacklog() time.Duration {
	least := time.Duration(-1)
	for _, e := range s.prefillEngines {
		if backlog := s.prefillLoad.Backlog(s.now, e.ID); least < 0 || backlog < least {
			least = backlog
		}
	}
	return max(least, 0)
}
