package emulator

import "cmp"

// ConfigLimits are the limits in a configuration that the tests vary.
type ConfigLimits struct {
	HeaderTimeoutMs int
	IdleTimeoutMs   int
	// MaxBodyBytes is 64 KiB if it is 0.
	MaxBodyBytes int
	// Tenants are the organisations, nil if requests need no key.
	Tenants []Tenant
}

// Tenant is an organisation of a configuration.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS,omitempty"`
	Burst    float64  `json:"burst,omitempty"`
}

// Route returns a route of a configuration, with the fields of more added or replaced.
func Route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": "shop.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": 3000,
		"targetLatencyMs": 900, "priority": 1, "service": service, "maxAttempts": 2,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// PutConfig publishes a configuration with a service of model engines, a plain service and a route of each kind, and with the
// routes of more.
func (s *Store) PutConfig(version int, limits ConfigLimits, more ...map[string]any) {
	engine := map[string]any{
		"slots": 4, "kvCapacity": 40000, "stride": 64, "kvHoldS": 0.5, "stageSwitchS": 0.2, "holdMs": 2000.0,
	}
	generation := map[string]any{"sessionAffinity": true, "gapAimMs": 300, "maxAttempts": 1}
	resumable := map[string]any{"sessionAffinity": true, "gapAimMs": 300, "resumable": true}
	s.PutJSON("keyed.op", "config", map[string]any{
		"version": version, "tenants": limits.Tenants,
		"routes": append([]map[string]any{
			Route("brief", "/brief/", "streaming", "writer", generation),
			Route("scope", "/scope/", "streaming", "writer", resumable),
			Route("submit", "/submit/", "non_idempotent", "desk", map[string]any{"maxAttempts": 1}),
			Route("lookup", "/lookup/", "idempotent", "desk", nil),
		}, more...),
		"services": []map[string]any{
			{"name": "writer", "healthCheck": "/health", "maxConnections": 100, "engine": engine},
			{"name": "desk", "healthCheck": "/health", "maxConnections": 100},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": cmp.Or(limits.MaxBodyBytes, 1<<16), "headerTimeoutMs": limits.HeaderTimeoutMs, "idleTimeoutMs": limits.IdleTimeoutMs,
		},
	})
}
