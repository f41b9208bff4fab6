package eventlogger

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/limiter"
)

const (
	// maxQueuedLines is the number of lines that are buffered for a slow output.
	maxQueuedLines = 4096
	// closeTimeout bounds the time for writing the buffered lines at exit.
	closeTimeout = 200 * time.Millisecond
)

// maxLineRate bounds the volume of the log. A host normally writes some tens of lines per second.
var maxLineRate = limiter.Rate{PerSecond: 1000, Burst: 4000}

// Writer writes log lines to an output asynchronously, so that a slow output never blocks the caller. Lines above the rate
// or buffer limit are dropped and counted.
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

// NewWriter returns a Writer to out and starts its goroutine, which ends with Close.
func NewWriter(out io.Writer, clock clockwork.Clock) *Writer {
	w := &Writer{out: out, clock: clock, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line or drops it. It never returns an error.
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

// reportDropped logs the number of lines dropped since its last report.
func (w *Writer) reportDropped() {
	if n := w.takeDropped(); n > 0 {
		fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":%q,\"event\":%d,\"lines\":%d}\n", LinesDropped.Text, LinesDropped.Number, n)
	}
}

// countDropped counts a line that could not be written to the output.
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

// Close writes the buffered lines, for at most closeTimeout.
func (w *Writer) Close() { w.CloseBy(w.clock.Now().Add(closeTimeout)) }

// CloseBy writes the buffered lines until end, for at most closeTimeout.
func (w *Writer) CloseBy(end time.Time) {
	limit := min(closeTimeout, end.Sub(w.clock.Now()))
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-w.clock.After(limit):
	}
}
