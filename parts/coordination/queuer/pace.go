package queuer

import "time"

// paced is the number of places whose pace tells how long others will wait.
const paced = 12

// Pace is how fast places are given. It is not safe for concurrent use.
type Pace struct {
	placed []time.Time
}

// Placed notes a place that was given.
func (p *Pace) Placed(now time.Time) {
	p.placed = append(p.placed, now)
	if len(p.placed) > paced {
		p.placed = p.placed[1:]
	}
}

// Wait returns how long it takes until ahead places have been given, false if too few are known.
func (p *Pace) Wait(now time.Time, ahead int) (time.Duration, bool) {
	if len(p.placed) < paced {
		return 0, false
	}
	took := now.Sub(p.placed[0])
	if took <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead) * float64(took) / float64(len(p.placed))), true
}

// Rate returns the places a second, 0 if too few are known.
func (p *Pace) Rate(now time.Time) float64 {
	wait, ok := p.Wait(now, 1)
	if !ok {
		return 0
	}
	return 1 / wait.Seconds()
}
