package watcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// The body of an error counted as a report of an engine without slots or memory.
func TestAnErrorInPlaceOfALoadReportKeepsTheLastReport(t *testing.T) {
	status, body := http.StatusOK, `{"slots":8,"running":3}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	defer server.Close()
	reports := 0
	w := New(Options{
		IsEngine: func(string) bool { return true }, IsOwned: func(string) bool { return true },
		OnReport: func(Endpoint) { reports++ }, Clock: clockwork.NewFakeClock(), Logs: hclog.NewNullLogger(),
	})
	e := Endpoint{Name: "engine", Address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	w.endpoints.Update(e.Name, func(Endpoint, bool) (Endpoint, bool) { return e, true })
	for _, answer := range []struct {
		status int
		body   string
	}{{http.StatusOK, body}, {http.StatusServiceUnavailable, `{"error":"overloaded"}`}, {http.StatusNotFound, `{}`}} {
		status, body = answer.status, answer.body
		w.pollLoad(t.Context(), e)
		known, _ := w.endpoints.Get(e.Name)
		assert.Equal(t, 8, known.Load.Slots, "after status %d", answer.status)
		assert.Equal(t, 3, known.Load.Running, "after status %d", answer.status)
	}
	assert.Equal(t, 1, reports)
}
