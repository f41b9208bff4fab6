package eventer

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// stuck is an output that nobody reads until it is freed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func TestAnOutputThatNobodyReadsDoesNotBlockAndTheLossIsTold(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	clock := clockwork.NewFakeClock()
	w := NewWriter(out, clock)
	for i := range 2 * maxQueuedLines {
		clock.Advance(time.Second)
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NoError(t, err)
	}
	close(out.unblock)
	w.Close()
	<-w.done
	assert.Contains(t, out.String(), "line 0\n")
	assert.Contains(t, out.String(), LinesDropped.Text)
}

func TestLinesAreBoundedInEachSecond(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	close(out.unblock)
	w := NewWriter(out, clockwork.NewFakeClock())
	for range 3 * int(maxLineRate.Burst) {
		fmt.Fprintln(w, "line")
		time.Sleep(time.Microsecond)
	}
	w.Close()
	<-w.done
	assert.LessOrEqual(t, strings.Count(out.String(), "line\n"), int(maxLineRate.Burst))
	assert.Contains(t, out.String(), LinesDropped.Text)
}
