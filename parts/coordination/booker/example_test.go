package booker_test

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/booker"
)

// A prefill queue accepts a prompt only if it is processed before its deadline.
func ExampleQueue() {
	var queue booker.Queue
	now := time.Unix(0, 0)
	_, first := queue.Enqueue(now, 300*time.Millisecond, now.Add(390*time.Millisecond))
	wait, second := queue.Enqueue(now, 300*time.Millisecond, now.Add(390*time.Millisecond))
	fmt.Println(first, second, wait)
	// Output: true false 300ms
}
