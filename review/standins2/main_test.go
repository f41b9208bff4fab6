//go:build review2

// Package standins2 plays the cases of the second review that can't be put as a day of the bench. It is built as a test program without
// tests, because only tests and the adapter may use the platform's names.
package standins2

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"
)

var (
	tempDir  string
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
	// hasTrouble is false for a run without the disruption.
	hasTrouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line to the record.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = record.WriteString(line)
	if os.Getenv("ECHO") != "" {
		fmt.Print(line)
	}
}

// end ends all processes and the program.
func end(status int) {
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	} else {
		fmt.Println(tempDir)
	}
	os.Exit(status)
}

func cannotRun(format string, args ...any) {
	note("the case cannot run: "+format, args...)
	end(2)
}

// judge ends the run with the result: 1 if the rule was broken.
func judge(isBroken bool, format string, args ...any) {
	note(format, args...)
	if isBroken {
		note("RULE BROKEN")
		end(1)
	}
	note("the rule held")
	end(0)
}

var cases = map[string]func(){}

// TestMain plays the case that the first argument names.
func TestMain(*testing.M) {
	var err error
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE RECORD")
		os.Exit(2)
	}
	if record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if tempDir, err = os.MkdirTemp("", "review2-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() { cannotRun("the time is over") })
	note("disruption: %t", hasTrouble)
	cases[os.Args[1]]()
}
