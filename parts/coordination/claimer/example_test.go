package claimer_test

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// Two hosts claim the same key. By every reader of the stream, the first claim wins.
func Example() {
	ledger := claimer.NewLedger(24 * time.Hour)
	stream := replayer.New[claimer.Payload](ledger)
	ana := claimer.ID{Host: "ana", Sequence: 1}
	ben := claimer.ID{Host: "ben", Sequence: 1}
	ledger.Watch(ben)
	for offset, id := range []claimer.ID{ana, ben} {
		stream.Feed(replayer.Record[claimer.Payload]{
			Offset:  uint64(offset),
			At:      time.Unix(0, 0),
			Payload: claimer.Payload{Entries: []claimer.Entry{{Kind: claimer.Claim, ID: id, Key: claimer.Digest{7}}}},
		})
	}
	outcome, _ := ledger.Outcome(ben)
	fmt.Println(outcome.Verdict == claimer.Lost, outcome.Holder.ID.Host)
	// Output: true ana
}
