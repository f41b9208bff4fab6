package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// System is the Clock of the operating system.
type System struct{}

// Now returns the time since the start of the machine.
func (System) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("timekeeper: unable to read CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
