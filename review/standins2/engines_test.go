//go:build review2

package standins2

import "time"

// heartbeat is the time between two announcements of a server.
const heartbeat = 1200 * time.Millisecond

// announce writes the entry of a server to the store until the program ends.
func announce(s entryWriter, id, service, address, stage string) {
	born := time.Now().UnixMilli()
	go func() {
		for n := 1; ; n++ {
			e := map[string]any{
				"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": 200, "state": "ready", "coldRemainingMs": 0,
				"sequence": n, "born": born,
			}
			if stage != "" {
				e["stage"] = stage
			}
			s.PutJSON("keyed.servers", id, e)
			time.Sleep(heartbeat)
		}
	}()
}
