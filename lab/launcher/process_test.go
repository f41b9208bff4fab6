package launcher

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// busyVariable makes the test program a process with busy threads.
const busyVariable = "LAUNCHER_TEST_BUSY"

func TestMain(m *testing.M) {
	if os.Getenv(busyVariable) == "" {
		os.Exit(m.Run())
	}
	for range 2 * runtime.NumCPU() {
		go func() {
			runtime.LockOSThread()
			for {
				time.Sleep(100 * time.Microsecond)
			}
		}()
	}
	select {}
}

// A host that ran on after SIGSTOP confirmed a publication for which the scenario expects it to be suspended.
func TestNoThreadRunsOnceAProcessHasBeenSuspended(t *testing.T) {
	for range 20 {
		p := &Process{Name: "busy", bin: os.Args[0], dir: t.TempDir(), env: []string{busyVariable + "=1"}}
		require.NoError(t, p.launch())
		t.Cleanup(p.Kill)
		require.NoError(t, Await(t.Context(), readyTimeout, func() bool {
			threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", p.PID()))
			return err == nil && len(threads) > runtime.NumCPU()
		}))
		require.NoError(t, p.Signal(syscall.SIGSTOP))
		require.True(t, isStopped(p.PID()))
		p.Kill()
	}
}

func TestASignalToAProcessThatHasEndedFailsWithItsStateAndOutput(t *testing.T) {
	p := &Process{Name: "busy", bin: os.Args[0], dir: t.TempDir(), env: []string{busyVariable + "=1"}}
	require.NoError(t, p.launch())
	require.NoError(t, os.WriteFile(p.dir+"/busy.log", []byte("last words"), 0o600))
	p.Kill()
	for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		var ended *EndedError
		require.ErrorAs(t, p.Signal(sig), &ended)
		require.Equal(t, EndedError{Name: "busy", State: "signal: killed", Output: "last words"}, *ended)
	}
}
