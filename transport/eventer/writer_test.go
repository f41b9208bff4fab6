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
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(p)
}

func TestAnOutputThatNobodyReadsDoesNotBlockAndTheLossIsTold(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	clock := clockwork.NewFakeClock()
	w := NewWriter(out, clock)
	for i := range 2 * queuedLines {
		clock.Advance(time.Second)
		_, err := fmt.Fprintf(w, "line %d\n", i)
		assert.NoError(t, err)
	}
	close(out.free)
	w.Close()
	<-w.done
	assert.Contains(t, out.String(), "line 0\n")
	assert.Contains(t, out.String(), LinesDropped.Text)
}

func TestLinesAreBoundedInEachSecond(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	close(out.free)
	w := NewWriter(out, clockwork.NewFakeClock())
	for range 3 * int(lineRate.Burst) {
		fmt.Fprintln(w, "line")
		time.Sleep(time.Microsecond)
	}
	w.Close()
	<-w.done
	assert.LessOrEqual(t, strings.Count(out.String(), "line\n"), int(lineRate.Burst))
	assert.Contains(t, out.String(), LinesDropped.Text)
}
