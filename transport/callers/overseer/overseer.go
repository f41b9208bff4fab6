// Package overseer answers operators.
package overseer

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
	"github.com/hornbeamspan/hornbeamspan/transport/store/enforcer"
	"github.com/hornbeamspan/hornbeamspan/transport/store/registrar"
)

const (
	// maxBody bounds the body of an operator's request.
	maxBody = 4 << 20
	// publishTimeout bounds the wait for the verdict on a publication.
	publishTimeout = 4 * time.Second
	// spreadTimeout bounds the wait until all hosts have a version in force.
	spreadTimeout = 5 * time.Second
	// askPeriod is the time between two questions for a host's version.
	askPeriod = 50 * time.Millisecond
)

// Options are the settings and parts of an Overseer.
type Options struct {
	Key       string
	Rules     *enforcer.Enforcer
	Hosts     *gossiper.Gossiper
	Endpoints *watcher.Watcher
	Registrar *registrar.Registrar
	Responder *responder.Responder
	Auditor   *auditor.Auditor
	Messenger *messenger.Messenger
	Metrics   http.Handler
	Draining  func() bool
	Clock     clockwork.Clock
}

// Overseer answers operators.
type Overseer struct {
	options Options
}

// New returns an Overseer.
func New(o Options) *Overseer { return &Overseer{options: o} }

// Routes returns the operators' routes.
func (o *Overseer) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: o.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: o.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: o.options.Metrics.ServeHTTP},
		{Method: http.MethodGet, Path: "/v1/status", Handler: o.guard(o.status)},
		{Method: http.MethodGet, Path: "/v1/rules", Handler: o.guard(o.rules)},
		{Method: http.MethodPost, Path: "/v1/rules", Handler: o.guard(o.publish)},
		{Method: http.MethodGet, Path: "/v1/rules/history", Handler: o.guard(o.history)},
		{Method: http.MethodGet, Path: "/v1/audit", Handler: o.guard(o.audit)},
	}
}

func (o *Overseer) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(key), []byte(o.options.Key)) != 1 {
			http.Error(w, "wrong operator key", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (o *Overseer) health(w http.ResponseWriter, _ *http.Request) { httpx.Ok(w) }

// ready answers 200 while new callers are welcome.
func (o *Overseer) ready(w http.ResponseWriter, _ *http.Request) {
	if o.options.Draining() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if o.options.Rules.Current() == nil {
		http.Error(w, "no rules in force", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-o.options.Endpoints.Ready():
		httpx.Ok(w)
	default:
		http.Error(w, "host list not read yet", http.StatusServiceUnavailable)
	}
}

// Host is a host as another one sees it.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"zone"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

// Endpoint is an endpoint as a host sees it.
type Endpoint struct {
	Name     string `json:"name"`
	Pool     string `json:"pool"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"inflight"`
	Running  int    `json:"running"`
	Slots    int    `json:"slots"`
	Held     int    `json:"held"`
}

// Status is a host's account of itself. Peer bytes count what hosts sent each other, both ways, since the start.
type Status struct {
	Host      string     `json:"host"`
	Software  string     `json:"software"`
	Rules     uint64     `json:"rules"`
	State     string     `json:"state"`
	InFlight  int64      `json:"inflight"`
	Keys      int        `json:"keys"`
	PeerBytes int64      `json:"peerbytes"`
	Heap      uint64     `json:"heap"`
	Threads   int        `json:"goroutines"`
	Hosts     []Host     `json:"hosts"`
	Endpoints []Endpoint `json:"endpoints"`
}

func (o *Overseer) status(w http.ResponseWriter, _ *http.Request) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	self := o.options.Hosts.Self()
	s := Status{
		Host: self.Name, Software: version.Version, Rules: o.options.Rules.Version(), State: gossiper.StateName(self.State),
		InFlight: o.options.Responder.InFlight(), Keys: o.options.Registrar.Keys(), PeerBytes: o.options.Messenger.Bytes(),
		Heap: memory.HeapAlloc, Threads: runtime.NumGoroutine(), Hosts: []Host{}, Endpoints: []Endpoint{},
	}
	for _, m := range append(o.options.Hosts.Members(), self) {
		s.Hosts = append(s.Hosts, Host{
			Name: m.Name, DataCentre: m.DataCentre, Address: m.Callers.String(), State: gossiper.StateName(m.State),
		})
	}
	for _, e := range o.options.Endpoints.All() {
		s.Endpoints = append(s.Endpoints, Endpoint{
			Name: e.Name, Pool: e.Pool, Leaving: e.Leaving, InFlight: e.InFlight,
			Running: e.Load.Running, Slots: e.Load.Slots, Held: e.Load.Held,
		})
	}
	httpx.OkJson(w, s)
}

// RuleFile is a rule file in force.
type RuleFile struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Text    string `json:"text"`
}

func (o *Overseer) rules(w http.ResponseWriter, _ *http.Request) {
	current := o.options.Rules.Current()
	if current == nil {
		httpx.OkJson(w, RuleFile{})
		return
	}
	f := current.File
	httpx.OkJson(w, RuleFile{Version: f.Version, Author: f.Author, Text: f.Text})
}

// Publication is an operator's request to publish.
type Publication struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Author string `json:"author"`
	Text   string `json:"text"`
}

// The verdicts on a publication.
const (
	Accepted     = "accepted"
	Refused      = "refused"
	Unclear      = "unknown"
	NotPublished = "not_published"
)

// Verdict is the answer to a Publication. Behind lists hosts that do not have the version in force yet.
type Verdict struct {
	ID      string   `json:"id"`
	Verdict string   `json:"verdict"`
	Version uint64   `json:"version"`
	Reason  string   `json:"reason,omitempty"`
	InForce []string `json:"hosts,omitempty"`
	Behind  []string `json:"behind,omitempty"`
}

func (o *Overseer) publish(w http.ResponseWriter, r *http.Request) {
	var p Publication
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&p); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if p.ID == "" || p.Author == "" {
		http.Error(w, "id and author must be given", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	d, err := o.options.Rules.Publish(ctx, p.ID, p.Base, p.Text, p.Author)
	v := verdict(p.ID, d, err)
	o.options.Auditor.Record(p.Author, "rules.publish", p.ID, v.Verdict+" "+v.Reason)
	if v.Verdict == Accepted {
		o.spread(r.Context(), &v)
	}
	httpx.OkJson(w, v)
}

func verdict(id string, d publisher.Decision, err error) Verdict {
	v := Verdict{ID: id, Verdict: Refused, Version: d.Version, Reason: d.Reason}
	var not *enforcer.NotPublishedError
	switch {
	case errors.As(err, &not):
		v.Verdict = NotPublished
		v.Reason = not.Reason
	case err != nil:
		v.Verdict = Unclear
		v.Reason = err.Error()
	case d.Accepted:
		v.Verdict = Accepted
	}
	return v
}

// spread waits until the hosts have the version of v in force, and sorts them into v. Each host is asked for those that
// it knows, too: a version is in force everywhere only if no host is left out that any of them has met.
func (o *Overseer) spread(ctx context.Context, v *Verdict) {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	self := o.options.Hosts.Self().Name
	s := &spreading{overseer: o, verdict: v, asked: map[string]bool{self: true}}
	s.note(self, o.options.Rules.AwaitVersion(ctx, v.Version) >= v.Version)
	s.askAll(ctx, o.options.Hosts.Members())
	s.wait.Wait()
}

// spreading is the asking of all hosts for one version.
type spreading struct {
	overseer *Overseer
	wait     sync.WaitGroup
	mu       sync.Mutex
	verdict  *Verdict
	asked    map[string]bool
}

func (s *spreading) note(name string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.verdict.InForce = append(s.verdict.InForce, name)
		return
	}
	s.verdict.Behind = append(s.verdict.Behind, name)
}

// askAll asks every host that was not asked yet.
func (s *spreading) askAll(ctx context.Context, members []tracker.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range members {
		if m.State == tracker.Dead || s.asked[m.Name] {
			continue
		}
		s.asked[m.Name] = true
		s.wait.Go(func() { s.note(m.Name, s.ask(ctx, m)) })
	}
}

// ask asks a host until it has the version.
func (s *spreading) ask(ctx context.Context, m tracker.Member) bool {
	for {
		have, known, err := s.overseer.options.Hosts.QueryVersion(ctx, m)
		if err == nil {
			s.askAll(ctx, known)
			if have >= s.verdict.Version {
				return true
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-s.overseer.options.Clock.After(askPeriod):
		}
	}
}

// Decision is an entry of the history of publications.
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

func (o *Overseer) history(w http.ResponseWriter, _ *http.Request) {
	h := History{Publications: []Decision{}}
	for _, d := range o.options.Rules.History() {
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

func (o *Overseer) audit(w http.ResponseWriter, r *http.Request) {
	records, err := o.options.Auditor.Read(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	httpx.OkJson(w, Audit{Records: records})
}
