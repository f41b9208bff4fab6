package tailer

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// replacedError is the error of a read whose source was replaced.
type replacedError struct{}

func (replacedError) Error() string        { return "replaced" }
func (replacedError) MayRetryAtOnce() bool { return true }

// replacedLog is a log whose first read finds that its source was replaced, and whose second read succeeds.
type replacedLog struct {
	reads chan struct{}
}

func (*replacedLog) Newest(context.Context, string, string) (Page, error) { return Page{}, nil }

func (l *replacedLog) Read(ctx context.Context, _ string, from uint64, _ time.Duration) ([]Record, uint64, error) {
	l.reads <- struct{}{}
	if len(l.reads) == 1 {
		return nil, 0, replacedError{}
	}
	<-ctx.Done()
	return nil, from, ctx.Err()
}

type noSink struct{}

func (noSink) Record(Record)                  {}
func (noSink) Listed(map[string]bool, uint64) {}
func (noSink) Lost(error)                     {}
func (noSink) Regained()                      {}

// A host whose source had lost the log waited 200 ms, and 400 ms after the next one, although it had chosen another source.
func TestAReadAfterItsSourceWasReplacedFollowsAtOnce(t *testing.T) {
	log := &replacedLog{reads: make(chan struct{}, 2)}
	tl := New(Options{Log: log, Sink: noSink{}, Clock: clockwork.NewFakeClock(), Logs: hclog.NewNullLogger()})
	ctx, cancel := context.WithCancel(context.Background())
	go tl.Run(ctx)
	assert.Eventually(t, func() bool { return len(log.reads) == 2 }, 5*time.Second, time.Millisecond, "the clock stands still")
	cancel()
	<-tl.Done()
}
