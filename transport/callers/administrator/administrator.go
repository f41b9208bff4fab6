// Package administrator serves the HTTP API for operators.
package administrator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/internal/version"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/responder"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/gossiper"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/auditor"
	"github.com/hornbeamspan/hornbeamspan/transport/store/keyowner"
	"github.com/hornbeamspan/hornbeamspan/transport/store/rulepublisher"
)

const (
	// maxBodyBytes bounds the body of an operator's request.
	maxBodyBytes = 4 << 20
	// publishTimeout bounds the wait for the verdict on a publication in the log.
	publishTimeout = 4 * time.Second
	// rolloutTimeout bounds the wait until all hosts have activated a version.
	rolloutTimeout = 5 * time.Second
	// pollInterval is the time between two queries for a host's version.
	pollInterval = 50 * time.Millisecond
)

// Options are the settings and dependencies of an Administrator.
type Options struct {
	Key       string
	Rules     *rulepublisher.Publisher
	Hosts     *gossiper.Gossiper
	Endpoints *watcher.Watcher
	KeyOwner  *keyowner.Owner
	Responder *responder.Responder
	Auditor   *auditor.Auditor
	Messenger *messenger.Messenger
	Metrics   http.Handler
	Draining  func() bool
	Clock     clockwork.Clock
}

// Administrator handles health checks and the requests of operators.
type Administrator struct {
	options Options
}

// New returns an Administrator that accepts only requests with the key of o.
func New(o Options) *Administrator { return &Administrator{options: o} }

// Routes returns the operators' routes; health, readiness and metrics need no key.
func (a *Administrator) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: a.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: a.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.options.Metrics.ServeHTTP},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.requireKey(a.status)},
		{Method: http.MethodGet, Path: "/v1/rules", Handler: a.requireKey(a.rules)},
		{Method: http.MethodPost, Path: "/v1/rules", Handler: a.requireKey(a.publish)},
		{Method: http.MethodGet, Path: "/v1/rules/history", Handler: a.requireKey(a.history)},
		{Method: http.MethodGet, Path: "/v1/audit", Handler: a.requireKey(a.audit)},
	}
}

func (a *Administrator) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(a.options.Key)) != 1 {
			http.Error(w, "invalid operator key", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (a *Administrator) health(w http.ResponseWriter, _ *http.Request) { httpx.Ok(w) }

// ready answers 200 while the host accepts new callers.
func (a *Administrator) ready(w http.ResponseWriter, _ *http.Request) {
	if a.options.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if a.options.Rules.Current() == nil {
		http.Error(w, "no rules loaded", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-a.options.Endpoints.Ready():
		httpx.Ok(w)
	default:
		http.Error(w, "endpoints not loaded yet", http.StatusServiceUnavailable)
	}
}

// Host is a host as seen by the answering host.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"zone"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// Endpoint is an endpoint as seen by the answering host.
type Endpoint struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"inflight"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Held     int    `json:"held"`
}

// Status is the state of the answering host. PeerBytes counts traffic with other hosts in both directions since the start.
type Status struct {
	Host       string     `json:"host"`
	Software   string     `json:"software"`
	Rules      uint64     `json:"rules"`
	State      string     `json:"state"`
	InFlight   int64      `json:"inflight"`
	Keys       int        `json:"keys"`
	PeerBytes  int64      `json:"peerbytes"`
	Heap       uint64     `json:"heap"`
	Goroutines int        `json:"goroutines"`
	Hosts      []Host     `json:"hosts"`
	Endpoints  []Endpoint `json:"endpoints"`
}

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	self := a.options.Hosts.Self()
	s := Status{
		Host: self.Name, Software: version.Version, Rules: a.options.Rules.Version(), State: gossiper.StateName(self.State),
		InFlight: a.options.Responder.InFlight(), Keys: a.options.KeyOwner.Keys(), PeerBytes: a.options.Messenger.Bytes(),
		Heap: memory.HeapAlloc, Goroutines: runtime.NumGoroutine(), Hosts: []Host{}, Endpoints: []Endpoint{},
	}
	for _, m := range append(a.options.Hosts.Members(), self) {
		s.Hosts = append(s.Hosts, Host{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Callers.String(), State: gossiper.StateName(m.State),
		})
	}
	for _, e := range a.options.Endpoints.All() {
		s.Endpoints = append(s.Endpoints, Endpoint{
			Name: e.Name, Pool: e.Pool, Leaving: e.Leaving, InFlight: e.InFlight,
			Running: e.Load.Running, Slots: e.Load.Slots, Held: e.Load.Held,
		})
	}
	httpx.OkJson(w, s)
}

// RuleFile is the active rule file.
type RuleFile struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Text    string `json:"text"`
}

func (a *Administrator) rules(w http.ResponseWriter, _ *http.Request) {
	current := a.options.Rules.Current()
	if current == nil {
		httpx.OkJson(w, RuleFile{})
		return
	}
	f := current.File
	httpx.OkJson(w, RuleFile{Version: f.Version, Author: f.Author, Text: f.Text})
}

// Publication is an operator's request to publish rules. Base is the version that the text was derived from.
type Publication struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Text   string `json:"text"`
}

// The verdicts on a publication. Unknown means that it may still take effect.
const (
	Accepted     = "accepted"
	Refused      = "refused"
	Unknown      = "unknown"
	NotPublished = "not_published"
)

// Verdict is the answer to a Publication. InForce lists the hosts that have activated the version, Pending those that
// have not.
type Verdict struct {
	ID      string   `json:"id"`
	Verdict string   `json:"verdict"`
	Version uint64   `json:"version"`
	Reason  string   `json:"reason,omitempty"`
	InForce []string `json:"hosts,omitempty"`
	Pending []string `json:"behind,omitempty"`
}

func (a *Administrator) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&p); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if p.ID == "" || p.Author == "" {
		http.Error(w, "id and author are required", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	d, err := a.options.Rules.Publish(ctx, p.ID, p.Base, p.Text, p.Author)
	v := verdict(p.ID, d, err)
	a.options.Auditor.Record(p.Author, "rules.publish", p.ID, v.Verdict+" "+v.Reason)
	if v.Verdict == Accepted {
		a.awaitRollout(r.Context(), &v)
	}
	httpx.OkJson(w, v)
}

func verdict(id string, d publisher.Decision, err error) Verdict {
	v := Verdict{ID: id, Verdict: Refused, Version: d.Version, Reason: d.Reason}
	var notPublished *rulepublisher.NotPublishedError
	switch {
	case errors.As(err, &notPublished):
		v.Verdict = NotPublished
		v.Reason = notPublished.Reason
	case err != nil:
		v.Verdict = Unknown
		v.Reason = err.Error()
	case d.Accepted:
		v.Verdict = Accepted
	}
	return v
}

// awaitRollout waits until the hosts have activated the version of v, and lists them in v. Each host is also queried for
// the members that it knows, so that hosts that this one does not know are included.
func (a *Administrator) awaitRollout(ctx context.Context, v *Verdict) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	self := a.options.Hosts.Self().Name
	ro := &rollout{administrator: a, verdict: v, polled: map[string]bool{self: true}}
	ro.record(self, a.options.Rules.AwaitVersion(ctx, v.Version) >= v.Version)
	ro.pollAll(ctx, a.options.Hosts.Members())
	ro.wg.Wait()
}

// rollout polls all hosts for one version.
type rollout struct {
	administrator *Administrator
	wg            sync.WaitGroup
	mu            sync.Mutex
	verdict       *Verdict
	polled        map[string]bool
}

func (ro *rollout) record(name string, ok bool) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if ok {
		ro.verdict.InForce = append(ro.verdict.InForce, name)
		return
	}
	ro.verdict.Pending = append(ro.verdict.Pending, name)
}

// pollAll starts to poll every host that is not polled yet.
func (ro *rollout) pollAll(ctx context.Context, members []tracker.Member) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, m := range members {
		if m.State == tracker.Dead || ro.polled[m.Name] {
			continue
		}
		ro.polled[m.Name] = true
		ro.wg.Go(func() { ro.record(m.Name, ro.poll(ctx, m)) })
	}
}

// poll queries a host until it has the version, and returns false if ctx is done first.
func (ro *rollout) poll(ctx context.Context, m tracker.Member) bool {
	for {
		have, known, err := ro.administrator.options.Hosts.QueryVersion(ctx, m)
		if err == nil {
			ro.pollAll(ctx, known)
			if have >= ro.verdict.Version {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-ro.administrator.options.Clock.After(pollInterval):
		}
	}
}

// Decision is an entry in the history of publications.
type Decision struct {
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Accepted bool      `json:"accepted"`
	Version  uint64    `json:"version"`
	Reason   string    `json:"reason,omitempty"`
	Time     time.Time `json:"time"`
}

// History lists publications, oldest first.
type History struct {
	Publications []Decision `json:"publications"`
}

func (a *Administrator) history(w http.ResponseWriter, _ *http.Request) {
	h := History{Publications: []Decision{}}
	for _, d := range a.options.Rules.History() {
		h.Publications = append(h.Publications, Decision{
			ID: d.ID, Author: d.Author, Accepted: d.Accepted, Version: d.Version, Reason: d.Reason, Time: d.At,
		})
	}
	httpx.OkJson(w, h)
}

// Audit lists audit records, oldest first.
type Audit struct {
	Records []wire.AuditRecord `json:"records"`
}

func (a *Administrator) audit(w http.ResponseWriter, r *http.Request) {
	records, err := a.options.Auditor.Read(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	httpx.OkJson(w, Audit{Records: records})
}
