package parser_test

import (
	"fmt"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
)

func ExampleParse() {
	rules, err := parser.Parse("pool desk kind=service # ada: tickets and look-ups\n")
	fmt.Println(rules.Pools["desk"].Kind, err)
	_, err = parser.Parse("pool desk kind=servce # ada: a slip")
	fmt.Println(err)
	// Output:
	// service <nil>
	// line 1, column 11: kind: must be one of prefill, decode, service
}
