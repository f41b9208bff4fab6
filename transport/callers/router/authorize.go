package router

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/authorizer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
)

const (
	// staleRetryAfter is the Retry-After of a host whose configuration is too old to accept keys. Callers retry at another host.
	staleRetryAfter = 300 * time.Millisecond
	// quotaWaitShare is the share of the time to the target for which a request waits for its organisation's quota.
	quotaWaitShare = 0.125
)

// authorize finds the organisation of a request, unless requests need no key. It returns a refusal if the key is not accepted.
func (rt *Router) authorize(j *job, t *matcher.Table) *result {
	if !t.HasOrganisations() {
		return nil
	}
	key, err := rt.Dialect.Key(j.Header)
	if j.route.IsPublic {
		if o := t.KeyOwner(key); err == nil && o != nil {
			j.Organisation = o.Name
		}
		return nil
	}
	if err == nil {
		if o := t.KeyOwner(key); o != nil {
			j.Trace.Set("organisation", o.Name) // also for a refusal by a stale configuration
		}
		j.key = key
		j.organisation, err = rt.Authorizer.Check(t, key, rt.configAge())
	}
	if err != nil {
		denial := denialResult(err)
		return &denial
	}
	j.Organisation = j.organisation.Name
	j.MayStart = func() error {
		// The age comes first: that of a newer table must not be taken for the age of the one that is checked.
		age := rt.configAge()
		_, err := rt.Authorizer.Check(rt.table.Load(), j.key, age)
		return err
	}
	return nil
}

func (rt *Router) configAge() time.Duration {
	if rt.ConfigAge == nil {
		return 0
	}
	return rt.ConfigAge()
}

// traceConfigAge adds the age of the configuration to the log line of a refused request. With an age that is not known, it adds -1.
func (rt *Router) traceConfigAge(j *job, status int) {
	t := rt.table.Load()
	if t == nil || !t.HasOrganisations() {
		return
	}
	switch status {
	case http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		age := rt.configAge()
		if age == math.MaxInt64 {
			age = -time.Millisecond
		}
		j.Trace.Set("config_age_ms", age.Milliseconds())
	}
}

// denialResult is the result of a request whose key is not accepted.
func denialResult(err error) result {
	var stale *authorizer.StaleError
	if errors.As(err, &stale) {
		return result{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: staleRetryAfter}
	}
	return result{status: http.StatusUnauthorized, reason: err.Error()}
}

// priority returns the rank of a request, that of its organisation if it has one.
func (j *job) priority() int {
	if j.organisation != nil {
		return j.organisation.Priority
	}
	return j.route.Priority
}

// spend takes the amount of a request of its organisation's quota. It returns a refusal if there is not enough in time.
func (rt *Router) spend(ctx context.Context, j *job) *result {
	if rt.Quotas == nil || j.organisation == nil || !j.organisation.Quota.IsSet() {
		return nil
	}
	amount := j.organisation.Quota.Amount(j.request.Tokens())
	now := rt.Clock.Now()
	maxWait := time.Duration(quotaWaitShare*float64(j.timeToTarget(j.started))) - now.Sub(j.started)
	err := rt.Quotas.Spend(ctx, j.Organisation, amount, max(0, maxWait))
	var exceeded *permitter.QuotaError
	switch {
	case errors.As(err, &exceeded):
		j.Trace.Set("quota_by", exceeded.Source)
		return &result{status: http.StatusTooManyRequests, reason: err.Error(), retryAfter: exceeded.RetryAfter}
	case err != nil:
		return &result{status: http.StatusServiceUnavailable, reason: "the request ended while it waited for its quota", retryAfter: minRetryAfter}
	}
	j.Trace.Set("amount", amount)
	j.spent = amount
	return nil
}

// refund returns what a request has taken of its quota, if the status of the router's own answer promises that it has not run.
func (rt *Router) refund(j *job, status int) {
	switch status {
	case http.StatusUnauthorized, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if j.spent > 0 {
			rt.Quotas.Refund(j.Organisation, j.spent)
			j.spent = 0
		}
	}
}
