// Package canceller cancels attempts at engines. It retries until the engine confirms or is considered gone.
package canceller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

const (
	// timeout limits one cancellation request.
	timeout = time.Second
	// initialBackoff is the time before the first retry; it doubles with each retry up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// maxRetryTime is how long an unreachable engine is retried. After it, the engine counts as gone, with all its
	// resources.
	maxRetryTime = 30 * time.Second
)

// Canceller cancels attempts in the background.
type Canceller struct {
	http    *dialer.Client
	clock   clockwork.Clock
	logs    hclog.Logger
	pending sync.WaitGroup
}

// New returns a Canceller with an HTTP client of its own.
func New(clock clockwork.Clock, logs hclog.Logger) *Canceller {
	return &Canceller{http: dialer.New("release", nil), clock: clock, logs: logs}
}

// Cancel starts to cancel an attempt of request id at engine e and returns at once.
func (c *Canceller) Cancel(e watcher.Endpoint, id string, attempt uint64) {
	c.pending.Go(func() { c.retry(e, id, attempt) })
}

// Wait blocks until every cancellation is confirmed or abandoned, or ctx ends.
func (c *Canceller) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (c *Canceller) retry(e watcher.Endpoint, id string, attempt uint64) {
	begin := c.clock.Now()
	pause := initialBackoff
	for {
		err := c.cancel(e, id, attempt)
		if err == nil || isConnRefused(err) {
			return
		}
		if c.clock.Since(begin) > maxRetryTime {
			eventlogger.Warn(c.logs, eventlogger.EngineLost, "engine", e.Name, "request", id, "error", err.Error())
			return
		}
		eventlogger.Info(c.logs, eventlogger.ReleaseRetried, "engine", e.Name, "request", id, "error", err.Error())
		c.clock.Sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
}

// isConnRefused reports whether nothing listens at the engine's address. The process has then ended, which freed its
// resources.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (c *Canceller) cancel(e watcher.Endpoint, id string, attempt uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/requests?id=%s&attempt=%d", e.Address, url.QueryEscape(id), attempt)
	req, err := dialer.Request(ctx, http.MethodDelete, address, nil, 0)
	if err != nil {
		return err
	}
	resp, _, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Engine: e.Name, Status: resp.StatusCode}
	}
	return nil
}

// StatusError reports an engine that did not confirm a cancellation.
type StatusError struct {
	Engine string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("canceller: unable to cancel a request at engine %s: expected status 200, got %d", e.Engine, e.Status)
}
