// Command hornbeamctl is the tool of operators and of experiments.
package main

import (
	"fmt"
	"os"

	"github.com/hornbeamspan/hornbeamspan/internal/control"
)

func main() {
	if err := control.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
