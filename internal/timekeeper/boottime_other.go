//go:build !linux

package timekeeper

import "time"

// System is the Clock of the operating system.
type System struct{}

// Now returns the time of day as the time since 1970.
func (System) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
