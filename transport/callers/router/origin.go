package router

import (
	"context"
	"errors"
	"net/http"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/registrar"
)

// resolveOrigin finds out which service and software version began a stream that the caller resumes. It returns a refusal if
// that is not known, as no other version may go on with the stream.
func (rt *Router) resolveOrigin(ctx context.Context, j *job) *result {
	if rt.Origins == nil || !j.request.IsResumption() {
		return nil
	}
	var key attributor.Key
	if j.request.Resumes != "" {
		key = registrar.Key(j.Fingerprint, j.request.Resumes)
	}
	services := j.route.Services()
	o, err := rt.Origins.Resolve(ctx, services, key)
	if err != nil {
		refusal := &result{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: attributor.FinalRetryAfter}
		var unknown *registrar.UnknownOriginError
		if errors.As(err, &unknown) {
			refusal.retryAfter = unknown.RetryAfter
		}
		return refusal
	}
	j.version, j.Service = o.Version, o.Service
	j.service = rt.table.Load().Services[o.Service]
	return nil
}

// streamKey returns the key of the stream that the request begins, and whether requests for its route may go to several services.
func (j *job) streamKey() (k attributor.Key, isShared bool) {
	return registrar.Key(j.Fingerprint, j.ID), len(j.route.Targets) > 1
}

// registerOrigin registers that the stream begins, or goes on, at an endpoint.
func (rl *relay) registerOrigin(e *discoverer.Endpoint) {
	if rl.router.Origins != nil {
		k, isShared := rl.j.streamKey()
		rl.router.Origins.Begin(k, e.Endpoint, isShared)
	}
}

// announceOrigin has the origin of a stream registered before its prefill, and keeps it to the software version of its decode engine
// if that was needed.
func (rl *relay) announceOrigin(e *discoverer.Endpoint) {
	if rl.router.Origins == nil || rl.committed {
		return
	}
	k, isShared := rl.j.streamKey()
	if rl.router.Origins.Announce(k, e.Endpoint, isShared) {
		rl.version = e.Version
	}
}

// mayUse reports whether an endpoint's software version may write the stream.
func (rl *relay) mayUse(e *discoverer.Endpoint) bool {
	switch {
	case rl.version != "":
		return e.Version == rl.version
	case rl.router.Origins == nil, rl.isPlaced:
		return true
	}
	return rl.router.Origins.Admits(rl.j.Service, e.Version)
}

func noVersionResult() result {
	return result{
		status: http.StatusServiceUnavailable, reason: "no endpoint runs the version that began the stream", retryAfter: attributor.FinalRetryAfter,
	}
}
