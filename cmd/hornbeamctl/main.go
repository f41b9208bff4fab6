// Command hornbeamctl is the command-line tool for operators, simulations and load tests.
package main

import (
	"fmt"
	"os"

	"github.com/hornbeamspan/hornbeamspan/internal/control"
)

func main() {
	if err := control.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(control.ExitCode(err))
	}
}
