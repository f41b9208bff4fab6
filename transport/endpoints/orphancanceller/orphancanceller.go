// Package orphancanceller cancels the requests of crashed and suspended hosts at engines.
//
// If a host crashes, its connections close and engines release its requests. The connections of a suspended host stay open, so
// the owner of each engine cancels its requests once the host is considered dead.
package orphancanceller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/canceller"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
)

const (
	// scanInterval is the time between two scans of the engines while a host is considered dead.
	scanInterval = time.Second
	// timeout limits one request to an engine.
	timeout = time.Second
	// maxListingBytes limits the size of an engine's answer.
	maxListingBytes = 4 << 20
)

// InFlightRequest is a request that holds resources of an engine.
type InFlightRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
}

// RequestListing is an engine's list of its requests.
type RequestListing struct {
	Requests []InFlightRequest `json:"flights"`
}

// Canceller scans the engines that this host owns.
type Canceller struct {
	http      *dialer.Client
	hosts     *gossiper.Gossiper
	endpoints *watcher.Watcher
	canceller *canceller.Canceller
	clock     clockwork.Clock
	logs      hclog.Logger
	done      chan struct{}
}

// New returns a Canceller that uses c to cancel the requests of dead members of hosts.
func New(hosts *gossiper.Gossiper, endpoints *watcher.Watcher, c *canceller.Canceller, clock clockwork.Clock, logs hclog.Logger) *Canceller {
	return &Canceller{
		http: dialer.New("reap", nil), hosts: hosts, endpoints: endpoints, canceller: c, clock: clock, logs: logs, done: make(chan struct{}),
	}
}

// Done returns a channel that is closed once Run has returned.
func (c *Canceller) Done() <-chan struct{} { return c.done }

// Run scans every scanInterval until ctx ends.
func (c *Canceller) Run(ctx context.Context) {
	defer close(c.done)
	ticker := c.clock.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			c.scan(ctx)
		}
	}
}

func (c *Canceller) scan(ctx context.Context) {
	dead := make(map[string]bool)
	for _, m := range c.hosts.Members() {
		if m.State == tracker.Dead {
			dead[m.Name] = true
		}
	}
	if len(dead) == 0 {
		return
	}
	for _, e := range c.endpoints.All() {
		if _, isOwner := c.hosts.Owner("engine/" + e.Name); isOwner && e.Load.Engine != "" {
			c.cancelOrphans(ctx, e, dead)
		}
	}
}

func (c *Canceller) cancelOrphans(ctx context.Context, e watcher.Endpoint, dead map[string]bool) {
	requests, err := c.listRequests(ctx, e)
	if err != nil {
		return
	}
	for _, req := range requests {
		host, _, _ := strings.Cut(req.ID, "/")
		if dead[host] {
			eventlogger.Info(c.logs, eventlogger.OrphanCancelled, "engine", e.Name, "request", req.ID)
			c.canceller.Cancel(e, req.ID, req.Attempt)
		}
	}
}

func (c *Canceller) listRequests(ctx context.Context, e watcher.Endpoint) ([]InFlightRequest, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := dialer.Request(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/requests", e.Address), nil, 0)
	if err != nil {
		return nil, err
	}
	resp, _, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var l RequestListing
	err = json.NewDecoder(io.LimitReader(resp.Body, maxListingBytes)).Decode(&l)
	return l.Requests, err
}
