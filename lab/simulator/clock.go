package simulator

import (
	"container/heap"
	"time"
)

// startTime is the simulated time at which a simulation begins. Its value is arbitrary.
var startTime = time.Unix(1_000_000, 0)

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock is a discrete-event queue: it runs callbacks in order of their time, equal times in order of scheduling.
type clock struct {
	now       time.Time
	scheduled int
	queue     events
}

func (c *clock) after(d time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.queue, event{at: c.now.Add(d), sequence: c.scheduled, run: run})
}

// runUntil runs all callbacks that are due up to and including end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}
