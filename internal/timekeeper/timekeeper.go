// Package timekeeper measures time that goes on while the machine is suspended.
package timekeeper

import "time"

// Clock returns the time since a fixed moment before the start of the process. The steady clock of the system does not count the time
// for which the machine is suspended, so that it cannot tell the age of what was learned before.
type Clock interface {
	Now() time.Duration
}
