package publisher_test

import (
	"fmt"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// A publication is accepted only if it is based on the version in force.
func Example() {
	evaluator := publisher.NewEvaluator(map[int]publisher.Validator{1: func(string) error { return nil }})
	stream := replayer.New[publisher.Payload](evaluator)
	for offset, id := range []string{"ada", "ben"} {
		text := "rule of " + id + "\n"
		p := publisher.Publication{ID: id, Author: id, Change: publisher.Diff("", text), Sum: publisher.SumOf(text), Validator: 1}
		stream.Feed(replayer.Record[publisher.Payload]{Offset: uint64(offset), Payload: publisher.Payload{Publication: &p}})
	}
	refused, _ := evaluator.Decision("ben")
	fmt.Print(evaluator.File().Text)
	fmt.Println(refused.Reason)
	// Output:
	// rule of ada
	// conflict: base is version 0, but version 1 by ada is in force
}
