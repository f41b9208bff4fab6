package sender

import (
	"fmt"
	"strings"
)

// Trace collects what was decided on a request, for the line at its end. The zero value is empty.
type Trace struct {
	steps []string
	keys  []any
}

// Step adds one decision.
func (t *Trace) Step(format string, args ...any) {
	t.steps = append(t.steps, fmt.Sprintf(format, args...))
}

// Set adds a name and a value, or gives the name a newer one.
func (t *Trace) Set(key string, value any) {
	for i := 0; i < len(t.keys); i += 2 {
		if t.keys[i] == key {
			t.keys[i+1] = value
			return
		}
	}
	t.keys = append(t.keys, key, value)
}

// Pairs returns names and values for a line of the log.
func (t *Trace) Pairs() []any {
	if len(t.steps) == 0 {
		return t.keys
	}
	return append(t.keys, "steps", strings.Join(t.steps, "; "))
}
