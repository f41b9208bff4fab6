package scenarios

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
)

// oddEntries are entries of another writer in place of an endpoint's or a host's.
func oddEntries() []string {
	sound := `{"service":"desk","address":"127.0.0.1:1","zone":"zone-0","version":"v1","slots":6,"state":"ready","sequence":4,"born":1000}`
	with := func(old, value string) string { return strings.Replace(sound, old, value, 1) }
	return []string{
		"x", "null", "[]", "{}", `"text"`, "\xff\xfe\x00", strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 40_000),
		with(`:4`, `:`+strings.Repeat("[", 50_000)), with(`"desk"`, `7`), with(`"desk"`, `null`), with(`"desk"`, `"elsewhere"`), with(`"ready"`, `"asleep"`),
		with(`6`, `1e400`), with(`6`, `-1`), with(`6`, `9223372036854775807`), with(`6`, `9223372036854775808`), with(`6`, `"six"`),
		with(`:1"`, `:0"`), with(`:1"`, `:70000"`), with(`:1"`, `:-1"`), with(`127.0.0.1`, `0.0.0.0`), with(`127.0.0.1`, `300.0.0.1`),
		with(`1000`, `9223372036854775807`), with(`1000`, `-9223372036854775808`), with(`1000`, `1e300`), with(`:4`, `:1e18`),
		with(`"v1"`, `null`), with(`"v1"`, `{"a":1}`), with(`"v1"`, `"`+strings.Repeat("v", 200_000)+`"`), strings.Repeat(" ", 250_000),
	}
}

func TestOddEntriesOfAnotherWriterStopNoHostFromFollowingTheList(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetSize{hosts: 3, prefill: 1, decode: 2, plain: 1})
	for i, entry := range oddEntries() {
		for _, topic := range []string{"keyed.servers", "keyed.status", "keyed.versions"} {
			f.store.Put(topic, fmt.Sprintf("odd-%d", i), []byte(entry))
			f.store.Put(topic, fmt.Sprintf("%s-%d", strings.Repeat("k", 250), i), []byte(entry))
		}
	}
	f.addHost("front-3")
	f.awaitReady()
	added := emulator.Start(f.store, emulator.Config{ID: "s-new", Service: "desk", DataCentre: "zone-0", Slots: 6, WorkTime: time.Millisecond})
	f.plain[0].Drain()
	f.plain = append(f.plain, added)
	for host, h := range f.hosts {
		require.NoError(t, launcher.Await(t.Context(), 5*time.Second, func() bool {
			before := len(added.Runs())
			return f.request(host, "/lookup/1", "").status == http.StatusOK && len(added.Runs()) > before
		}), "%s does not use the new endpoint", h.Name)
		assert.Equal(t, http.StatusOK, f.request(host, "/brief/1", equalPrompts(0)).status)
		select {
		case <-h.Exited():
			t.Errorf("%s has ended", h.Name)
		default:
		}
	}
}
