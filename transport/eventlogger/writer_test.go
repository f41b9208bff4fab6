package eventlogger

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

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func TestBlockedOutputDoesNotBlockWritersAndDroppedLinesAreReported(t *testing.T) {
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

func TestLinesPerSecondAreLimited(t *testing.T) {
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
