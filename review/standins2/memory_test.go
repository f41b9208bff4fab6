//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

func init() { cases["memory"] = memory }

const (
	// bodyBytes is the size of a request body. A body may have 4 MiB.
	bodyBytes = 55_000
	// crowdCallers send a request at the same time, calmCallers without the disruption.
	crowdCallers = 1140
	calmCallers  = 100
	// waves is how often the crowd comes to each host.
	waves = 3
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = time.Second
	// firstEventDelay is how long a server works on a request before the first event.
	firstEventDelay = 4 * time.Second
	streamEvents    = 69
	eventPause      = 30 * time.Millisecond
	eventBytes      = 300
	engines         = 6
)

// watchMemory ends a host that exceeds its memory, as the platform does, and returns the most that it has used until done is closed.
func watchMemory(h *host, done <-chan struct{}) (peak int64, isKilled bool) {
	for {
		select {
		case <-done:
			return peak, false
		case <-time.After(10 * time.Millisecond):
		}
		used := h.memory("RssAnon")
		peak = max(peak, used)
		if used > memoryMB<<20 {
			note("platform: %s uses %.1f MB of %d MB and is killed", h.name, float64(used)/(1<<20), memoryMB)
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.exited
			return peak, true
		}
	}
}

// memory: many complete bodies of legal size at once make a host exceed its memory.
func memory() {
	store := emulator.NewStore()
	var ran runs
	for i := range engines {
		id := fmt.Sprintf("i-%d", i)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			if r.Header.Get("Expect-Instance") != id {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			ran.add(r.Header.Get("Request-Id"))
			w.Header().Set("Response-Seal", "seal."+id)
			if r.Method == http.MethodGet {
				_, _ = io.WriteString(w, "ok")
				return
			}
			time.Sleep(firstEventDelay)
			w.Header().Set("Content-Type", "text/event-stream")
			control := http.NewResponseController(w)
			for n := 1; n <= streamEvents; n++ {
				_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", eventBytes))
				if err != nil || control.Flush() != nil || r.Context().Err() != nil {
					return
				}
				time.Sleep(eventPause)
			}
		}))
		announce(store, id, "desk", srv.Listener.Addr().String(), "")
	}
	putConfig(store, 1, nil,
		route("look", "/look/", "idempotent", "desk", nil),
		route("brief", "/brief/", "streaming", "desk", map[string]any{"gapAimMs": 300}))
	a := newHost("front-1", store.Address().String())
	b := newHost("front-2", store.Address().String(), a.control)
	a.start()
	b.start()
	a.awaitReady()
	b.awaitReady()
	note("hosts ready")
	callers := calmCallers
	if hasTrouble {
		callers = crowdCallers
	}
	ends := make(map[string]int)
	lost := 0
	for wave := range waves {
		for _, h := range []*host{a, b} {
			killed, unanswered := crowdAt(h, callers, wave, &ran)
			lost += unanswered
			if !killed {
				continue
			}
			ends[h.name]++
			time.Sleep(restartDelay)
			h.start()
			h.awaitReady()
		}
	}
	judge(lost > 3, "ends by themselves: %v; %d requests from kept connections that servers had begun to run got no answer", ends, lost)
}

// crowdAt has callers send their requests to h at the same time. It returns whether the platform has killed h, and how many requests
// have run without any answer.
func crowdAt(h *host, callers, wave int, ran *runs) (isKilled bool, unanswered int) {
	done := make(chan struct{})
	killed := make(chan bool)
	go func() {
		peak, isKilled := watchMemory(h, done)
		note("%s has used %.1f MB at most", h.name, float64(peak)/(1<<20))
		killed <- isKilled
	}()
	var wg sync.WaitGroup
	var complete, refused, cut, open, kept, lost atomic.Int64
	body := strings.Repeat("b", bodyBytes)
	for i := range callers {
		wg.Go(func() {
			id := fmt.Sprintf("%s-%d-%d", h.name, wave, i)
			conn, err := net.Dial("tcp", h.front)
			if err != nil {
				return
			}
			defer conn.Close()
			open.Add(1)
			_ = conn.SetDeadline(time.Now().Add(14 * time.Second))
			in := bufio.NewReader(conn)
			// A first request on the connection, which is kept for the next one.
			_, _ = fmt.Fprintf(conn, "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s-first\r\nDeadline-Ms: 14000\r\n\r\n", id)
			if status, err := readAnswer(in); err != nil || status != http.StatusOK {
				return
			}
			kept.Add(1)
			_, _ = fmt.Fprintf(conn, "POST /brief/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
			_, err = in.Peek(1)
			if err != nil {
				if ran.of(id) > 0 {
					lost.Add(1)
				}
				return
			}
			switch status, err := readAnswer(in); {
			case err == nil && status == http.StatusOK:
				complete.Add(1)
			case err == nil:
				refused.Add(1)
			default:
				cut.Add(1)
			}
		})
		time.Sleep(500 * time.Microsecond)
	}
	wg.Wait()
	close(done)
	isKilled = <-killed
	note("%s, wave %d: %d callers, %d kept connections, %d complete answers, %d refusals, %d answers cut, %d run without an answer", h.name, wave, callers,
		kept.Load(), complete.Load(), refused.Load(), cut.Load(), lost.Load())
	return isKilled, int(lost.Load())
}

// readAnswer reads one answer to its end.
func readAnswer(in *bufio.Reader) (status int, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
