package sender

import (
	"fmt"
	"strings"
)

// Trace collects the decisions on a request for the log line at its end. The zero value is empty.
type Trace struct {
	steps []string
	keys  []any
}

// Step adds a decision; Pairs joins all of them under the key steps.
func (t *Trace) Step(format string, args ...any) {
	t.steps = append(t.steps, fmt.Sprintf(format, args...))
}

// Set adds a key and a value, or replaces the value of the key.
func (t *Trace) Set(key string, value any) {
	for i := 0; i < len(t.keys); i += 2 {
		if t.keys[i] == key {
			t.keys[i+1] = value
			return
		}
	}
	t.keys = append(t.keys, key, value)
}

// Pairs returns alternating keys and values for a log line.
func (t *Trace) Pairs() []any {
	if len(t.steps) == 0 {
		return t.keys
	}
	return append(t.keys, "steps", strings.Join(t.steps, "; "))
}
