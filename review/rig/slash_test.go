package rig

import (
	"fmt"
	"time"
)

func init() { cases["slash"] = playSlash }

// playSlash sends requests whose path begins with two slashes, on a route for all paths of its host name.
func playSlash(t *Trial) (int, error) {
	var engines []*Plain
	for i, zone := range []string{"west-a", "west-b"} {
		e, err := StartPlain(t.Store, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, 15*time.Millisecond)
		if err != nil {
			return couldNotRun, err
		}
		t.Cleanup(e.Exit)
		engines = append(engines, e)
	}
	t.PutConfig([]map[string]any{{
		"name": "all", "hostname": "shop.example", "pathPrefix": "/", "routeType": "non_idempotent", "timeoutMs": 1500,
		"targetLatencyMs": 300, "priority": 1, "maxAttempts": 2, "service": "desk",
	}}, "desk")
	if err := t.StartHosts(func(int) string { return t.Store.Address }, "west-a", "west-b"); err != nil {
		return couldNotRun, err
	}
	path := "/filing/1"
	if t.HasTrouble {
		path = "//filing/1"
	}
	answers := 0
	for n := range 20 {
		o := Send(t.Hosts[n%2].Front, "POST", path, fmt.Sprintf("c-%02d", n), "file", 1500*time.Millisecond, nil)
		t.Record.Printf(o.Sent, "%s to %s: POST %s, Host shop.example: %s", o.ID, o.Host, path, describe(o))
		if o.Err == "" && o.Status == 200 {
			answers++
		}
	}
	changed, ran := 0, 0
	for _, e := range engines {
		for _, r := range e.Runs() {
			ran++
			if r.Target != path || r.Host != "shop.example" {
				changed++
				t.Record.Printf(r.Began, "UNASKED: %s runs %s as POST %s, Host %s", e.ID, r.ID, r.Target, r.Host)
			}
		}
	}
	t.Record.Printf(time.Now(), "20 requests, %d answered 200, %d run, %d of them with another path", answers, ran, changed)
	switch {
	case changed > 0:
		return broken, nil
	case answers < 20:
		return couldNotRun, nil
	}
	return held, nil
}
