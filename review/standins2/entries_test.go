//go:build review2

package standins2

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"
)

func init() { cases["entries"] = entries }

const (
	// oddEntryBytes is the size of an entry that cannot be read. A record may have 262,144 bytes, all topics together 400 MB.
	oddEntryBytes = 250_000
	oddEntries    = 500
	// watchTime bounds the time after the restart.
	watchTime = 60 * time.Second
)

// entries: entries of another writer that cannot be read use up the memory of each host that lists them.
func entries() {
	store := newPagedStore()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		_, _ = io.WriteString(w, "ok")
	}))
	announce(store, "i-1", "desk", srv.Listener.Addr().String(), "")
	putConfig(store, 1, nil, route("look", "/look/", "idempotent", "desk", nil))
	a := newHost("front-1", store.address())
	b := newHost("front-2", store.address(), a.control)
	both := []*host{a, b}
	for _, h := range both {
		h.start()
	}
	for _, h := range both {
		h.awaitReady()
	}
	note("hosts ready, status of a request: %d and %d", look(a), look(b))
	if hasTrouble {
		odd := []byte(strings.Repeat("\xff", oddEntryBytes))
		for i := range oddEntries {
			store.Put("keyed.servers", fmt.Sprintf("other-%03d", i), odd)
		}
		note("another writer has written %d entries that cannot be read, %d bytes each", oddEntries, oddEntryBytes)
	}
	ends := make(map[string]int)
	done := make(chan struct{})
	results := make(chan string, 100)
	for _, h := range both {
		go func() {
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
			note("platform: %s is stopped and started again", h.name)
			<-h.exited
			for {
				time.Sleep(restartDelay)
				h.start()
				if _, killed := watchMemory(h, done); !killed {
					return
				}
				results <- h.name
			}
		}()
	}
	end := time.After(watchTime)
	for ends[a.name] < 3 || ends[b.name] < 3 {
		select {
		case name := <-results:
			ends[name]++
			continue
		case <-end:
		}
		break
	}
	ready, status := [2]bool{a.isReady(), b.isReady()}, [2]int{look(a), look(b)}
	close(done)
	note("ready: %v, status of a request: %v", ready, status)
	judge(ends[a.name] >= 3 && ends[b.name] >= 3, "ends by themselves: %v", ends)
}

// look sends a request and returns its status, 0 without an answer.
func look(h *host) int {
	c := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+h.front+"/look/1", nil)
	if err != nil {
		cannotRun("%s", err)
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", fmt.Sprint("look-", time.Now().UnixNano()))
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
