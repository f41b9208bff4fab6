package eventer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
)

const (
	// queuedLines is the number of lines that may wait for a slow reader of the log.
	maxQueuedLines = 4096
	// closeTimeout bounds the wait for a reader at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

// lineRate bounds the volume of the log. A host's usual share is some tens of lines a second.
var maxLineRate = limiter.Rate{PerSecond: 1000, Burst: 4000}

// Writer hands log lines to an output without ever waiting for it. Lines that come too fast are dropped and counted.
type Writer struct {
	out     io.Writer
	clock   clockwork.Clock
	lines   chan []byte
	mu      sync.Mutex
	bucket  limiter.Bucket
	dropped int
	closed  bool
	done    chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	w := &Writer{out: out, clock: clock, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.bucket.Take(w.clock.Now(), maxLineRate); !ok || w.closed {
		w.dropped++
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped++
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			w.countDropped()
			continue
		}
		w.reportDropped()
	}
	w.reportDropped()
}

// tellDropped writes how many lines were dropped since it last did.
func (w *Writer) reportDropped() {
	if n := w.takeDropped(); n > 0 {
		fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":%q,\"event\":%d,\"lines\":%d}\n", LinesDropped.Text, LinesDropped.Number, n)
	}
}

// count notes a line that could not be written.
func (w *Writer) countDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped++
}

func (w *Writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the lines that wait, as far as the reader takes them soon.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-w.clock.After(closeTimeout):
	}
}
