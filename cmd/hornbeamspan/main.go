// Command hornbeamspan is the daemon that runs on an entry host.
package main

import (
	"fmt"
	"os"

	"github.com/hornbeamspan/hornbeamspan/internal/daemon"
)

func main() {
	if err := daemon.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
