// Package releaser cancels attempts at engines until the engine has confirmed it or is gone.
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
	"github.com/hornbeamspan/hornbeamspan/transport/eventer"
)

const (
	// timeout bounds one cancellation.
	timeout = time.Second
	// firstPause is the time before the first repeat; each next one waits twice as long, up to lastPause.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// giveUp is when an engine that cannot be reached is taken for gone, with all that it held.
	maxRetryTime = 30 * time.Second
)

// Releaser cancels in the background.
type Releaser struct {
	http    *dialer.Client
	clock   clockwork.Clock
	logs    hclog.Logger
	pending sync.WaitGroup
}

// New returns a Releaser.
func New(clock clockwork.Clock, logs hclog.Logger) *Releaser {
	return &Releaser{http: dialer.New("release", nil), clock: clock, logs: logs}
}

// Release cancels an attempt of request id at engine e.
func (r *Releaser) Release(e watcher.Endpoint, id string, attempt uint64) {
	r.pending.Go(func() { r.retry(e, id, attempt) })
}

// Wait returns once every release is confirmed or given up, or ctx ends.
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
			eventer.Warn(r.logs, eventer.EngineGone, "engine", e.Name, "request", id, "error", err.Error())
			return
		}
		eventer.Info(r.logs, eventer.ReleaseRetried, "engine", e.Name, "request", id, "error", err.Error())
		r.clock.Sleep(pause)
		pause = min(2*pause, maxBackoff)
	}
}

// isGone tells whether nothing listens at the engine's address: its process has ended, with all that it held.
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
	return fmt.Sprintf("releaser: unable to cancel at %s: status %d", e.Engine, e.Status)
}
