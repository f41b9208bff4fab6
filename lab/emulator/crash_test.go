package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An engine that was crashed twice before its next start started twice, with a server that nothing closed.
func TestAnEngineThatHasEndedStartsAgainOnce(t *testing.T) {
	store := NewStore()
	defer store.Close()
	e := Start(store, Config{ID: "d0", Stage: "decode", RestartDelay: 50 * time.Millisecond, EntryLifetime: 10 * time.Millisecond})
	defer e.Close()
	starts := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.starts
	}
	e.Crash()
	e.Crash()
	assert.Eventually(t, func() bool { return starts() > 0 }, 10*time.Second, time.Millisecond)
	assert.Never(t, func() bool { return starts() > 1 }, 4*e.cfg.RestartDelay, 10*time.Millisecond)
}
