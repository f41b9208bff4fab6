//go:build review3

package standins3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

func init() { cases["crowd"] = crowd }

const (
	// memoryLimit is memoryMb of the settings.
	memoryLimit = 120 << 20
	// crowdSize is the number of connections with unfinished requests: fewer than the 1,148 that a host with 2,870 descriptors accepts.
	crowdSize = 1100
	// crowdBodyBytes are announced for each body, and all but one byte are sent.
	crowdBodyBytes = 60_000
	// crowdHeadBytes are the bytes of each header; the configuration allows 16,384.
	crowdHeadBytes = 15_000
	// crowdFieldBytes is the length of the value of one header field.
	crowdFieldBytes = 40
	// crowdTime is how long the requests stay unfinished.
	crowdTime = 10 * time.Second
	// ordinaryCallers is the number of ordinary callers, which send requests on kept connections.
	ordinaryCallers = 8
	ordinaryWork    = 300 * time.Millisecond
)

// crowdText returns a request whose last byte is missing.
func crowdText(i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /submit/crowd HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd%d\r\nDeadline-Ms: 14000\r\nContent-Length: %d\r\n", i, crowdBodyBytes)
	for n := 0; b.Len() < crowdHeadBytes-100; n++ {
		fmt.Fprintf(&b, "X-Field-%d: %s\r\n", n, strings.Repeat("v", crowdFieldBytes))
	}
	b.WriteString("\r\n")
	b.WriteString(strings.Repeat("x", crowdBodyBytes-1))
	return b.String()
}

// enforceMemory ends a process that exceeds its memory, as the platform does, until done is closed. It returns the peak in bytes, and
// whether the process was ended.
func (r *rig) enforceMemory(h *host, done <-chan struct{}) (peak int64, isKilled bool) {
	for {
		select {
		case <-done:
			return peak, false
		case <-time.After(10 * time.Millisecond):
		}
		used := h.memory("RssAnon")
		peak = max(peak, used)
		if used > memoryLimit {
			r.note("the platform ends process %d: it uses %d bytes of anonymous memory, its limit is %d", h.cmd.Process.Pid, used, int64(memoryLimit))
			_ = h.cmd.Process.Kill()
			return peak, true
		}
	}
}

// ordinaryCounts are the results of ordinary callers.
type ordinaryCounts struct {
	sent, answered, closed, noConnection atomic.Int64
	mu                                   sync.Mutex
	// unanswered are the requests whose connection was closed without an answer.
	unanswered map[string]bool
}

// callOrdinary sends requests one after another on a kept connection until done is closed.
func (r *rig) callOrdinary(h *host, caller int, c *ordinaryCounts, done <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", h.callers.String(), time.Second); err != nil {
				conn = nil
				c.noConnection.Add(1)
				time.Sleep(200 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("ordinary%d-%d", caller, n)
		c.sent.Add(1)
		_, err := fmt.Fprintf(conn, "POST /submit/ordinary HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody",
			id, emulator.WorkTimeHeader, ordinaryWork.Milliseconds())
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			c.closed.Add(1)
			c.mu.Lock()
			c.unanswered[id] = true
			c.mu.Unlock()
			r.note("%s: its connection ended without an answer: %s", id, err)
			_ = conn.Close()
			conn = nil
			continue
		}
		c.answered.Add(1)
		if resp.Close {
			_ = conn.Close()
			conn = nil
		}
	}
}

// crowd has callers leave requests unfinished whose headers and bodies are within the limits of the configuration.
func crowd(r *rig) int {
	r.putConfig(1, route("submit", "/submit/", "non_idempotent", "desk", 14000, 1, nil))
	e := r.startEndpoint(emulator.Config{ID: "s0", Service: "desk", DataCentre: "ng-west-a", Slots: 64, WorkTime: 15 * time.Millisecond})
	h, err := r.addHost("front-1", "ng-west-a", r.store.Address())
	if err != nil || !r.awaitReady() {
		return noRun
	}
	r.note("anonymous memory at the start: %d MiB of %d", h.memory("RssAnon")>>20, memoryLimit>>20)
	done := make(chan struct{})
	counts := &ordinaryCounts{unanswered: make(map[string]bool)}
	var wg sync.WaitGroup
	for i := range ordinaryCallers {
		wg.Go(func() { r.callOrdinary(h, i, counts, done) })
	}
	var peak int64
	var isKilled bool
	wg.Go(func() { peak, isKilled = r.enforceMemory(h, done) })
	time.Sleep(time.Second)
	var opened, ended atomic.Int64
	if r.isTroubled {
		r.note("%d callers send headers of %d bytes and all but the last byte of bodies of %d bytes", crowdSize, crowdHeadBytes, crowdBodyBytes)
		for i := range crowdSize {
			wg.Go(func() {
				conn, err := net.DialTimeout("tcp", h.callers.String(), time.Second)
				if err != nil {
					return
				}
				opened.Add(1)
				time.AfterFunc(crowdTime, func() { _ = conn.Close() })
				if _, err := io.WriteString(conn, crowdText(i)); err == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
				ended.Add(1)
			})
			if i%20 == 0 {
				time.Sleep(10 * time.Millisecond) // connections come within a second
			}
		}
	}
	time.Sleep(crowdTime / 2)
	r.note("%d connections of the crowd were opened, %d of them have ended", opened.Load(), ended.Load())
	close(done)
	wg.Wait()
	lost := 0
	for _, run := range e.Runs() {
		if counts.unanswered[run.ID] {
			lost++
		}
	}
	r.note("ordinary callers: %d requests sent, %d answered, %d connections ended without an answer, %d times no connection", counts.sent.Load(), counts.answered.Load(),
		counts.closed.Load(), counts.noConnection.Load())
	r.note("peak of the anonymous memory: %d MiB; ended by the platform: %t; ordinary requests that the service ran and nobody answered: %d", peak>>20, isKilled, lost)
	if isKilled || lost > 3 {
		r.note("LOST: the process exceeded its memory; more than three requests of kept connections were passed on and not answered: %t", lost > 3)
		return broken
	}
	return held
}
