package throttler_test

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/throttler"
)

// The owner of a service permits the requests of all hosts to an endpoint that accepts two a second.
func ExampleThrottler_Permit() {
	now := time.Unix(1_000_000, 0)
	t := throttler.New("owner", 3*time.Second)
	for i := range 121 { // the owner has been in office for a minute
		t.SetStanding(now.Add(-time.Minute+time.Duration(i)*throttler.StandingInterval), throttler.Standing{IsOwner: true, Hosts: 4})
	}
	limit := throttler.Limit{IsSet: true, PerSecond: 2, ObservedAt: now}
	for range 4 {
		wait, ok := t.Permit(now, "endpoint", now, limit, 600*time.Millisecond)
		fmt.Println(wait, ok)
	}
	// Output:
	// 0s true
	// 0s true
	// 500ms true
	// 1s false
}
