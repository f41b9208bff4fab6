package attributor_test

import (
	"fmt"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
)

// A stream that nobody remembers is of the only version that the log has ever held. Once there are two, it is of none.
func ExampleVersions_Single() {
	now := time.Unix(1_700_000_000, 0)
	vs := attributor.NewVersions()
	vs.Listed(now, nil, 0)
	put := func(r attributor.Record, position uint64) { vs.Apply(now, r.Key(), &r, position) }
	put(attributor.Record{}, 0) // the log holds all versions
	put(attributor.Record{Origin: attributor.Origin{Service: "writer", Version: "v1"}}, 1)
	fmt.Println(vs.Single("writer"))
	put(attributor.Record{Origin: attributor.Origin{Service: "writer", Version: "v2"}}, 2)
	_, isKnown := vs.Single("writer")
	fmt.Println(isKnown)
	// Output:
	// v1 true
	// false
}
