package ranker_test

import (
	"fmt"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/ranker"
)

func ExampleOwner() {
	hosts := []string{"a", "b", "c"}
	fmt.Println(ranker.Owner("key", hosts) == ranker.Rank("key", hosts)[0])
	// Output: true
}
