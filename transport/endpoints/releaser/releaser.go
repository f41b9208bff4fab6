// Package releaser cancels attempts at engines. It retries until the engine confirms or is considered gone.
package releaser

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

// Releaser cancels attempts in the background.
type Releaser struct {
	http    *dialer.Client
	clock   clockwork.Clock
	logs    hclog.Logger
	pending sync.WaitGroup
}

// New returns a Releaser with an HTTP client of its own.
func New(clock clockwork.Clock, logs hclog.Logger) *Releaser {
	return &Releaser{http: dialer.New("release", nil), clock: clock, logs: logs}
}

// Release starts to cancel an attempt of request id at engine e and returns at once.
func (r *Releaser) Release(e watcher.Endpoint, id string, attempt uint64) {
	r.pending.Go(func() { r.retry(e, id, attempt) })
}

// Wait blocks until every cancellation is confirmed or abandoned, or ctx ends.
func (r *Releaser) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *Releaser) retry(e watcher.Endpoint, id string, attempt uint64) {
	begin := r.clock.Now()
	pause := initialBackoff
	for {
		err := r.cancel(e, id, attempt)
		if err == nil || isConnRefused(err) {
			return
		}
		if r.clock.Since(begin) > maxRetryTime {
			eventlogger.Warn(r.logs, eventlogger.EngineLost, "engine", e.Name, "request", id, "error", err.Error())
			return
		}
		eventlogger.Info(r.logs, eventlogger.ReleaseRetried, "engine", e.Name, "request", id, "error", err.Error())
		r.clock.Sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
}

// isConnRefused returns whether nothing listens at the engine's address. The process has then ended, which freed its
// resources.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (r *Releaser) cancel(e watcher.Endpoint, id string, attempt uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	address := fmt.Sprintf("http://%s/v1/requests?id=%s&attempt=%d", e.Address, url.QueryEscape(id), attempt)
	req, err := dialer.Request(ctx, http.MethodDelete, address, nil, 0)
	if err != nil {
		return err
	}
	resp, _, err := r.http.Do(req)
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
	return fmt.Sprintf("releaser: unable to cancel a request at engine %s: expected status 200, got %d", e.Engine, e.Status)
}
