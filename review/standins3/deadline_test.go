//go:build review3

package standins3

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadline"] = deadline }

const (
	// longEvents events or lines make a complete answer, one every normalInterval, or every slowEventInterval by a slow server.
	longEvents        = 60
	normalInterval    = 30 * time.Millisecond
	slowEventInterval = 5 * normalInterval
	// longTimeoutMs is the timeoutMs of both routes; callers wait for 14 s.
	longTimeoutMs = 3000
	// deadlineServers is the number of servers of the service; the first one is slow.
	deadlineServers = 4
	// longRequests requests are sent, longPause apart, before any server has ended one: streams and calls that must not run twice.
	longRequests = 80
	longPause    = 20 * time.Millisecond
)

// startDeadlineServer starts a server whose answers have no length. It stops work at the deadline that it receives.
func (r *rig) startDeadlineServer(id, name string, interval time.Duration) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	done := make(chan struct{})
	r.closers = append(r.closers, func() {
		close(done)
		_ = l.Close()
	})
	born := time.Now().UnixMilli()
	announce := func(sequence int) {
		r.store.PutJSON("keyed.servers", id, map[string]any{
			"service": name, "address": l.Addr().String(), "zone": "ng-west-a", "version": "v1", "slots": 64, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
	}
	announce(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
				announce(sequence)
			}
		}
	}()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveUntilDeadline(conn, id, interval)
		}
	}()
	return nil
}

func (r *rig) serveUntilDeadline(conn net.Conn, server string, interval time.Duration) {
	defer conn.Close()
	q, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a check of the connection, without a request
	}
	received := time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	ms, _ := strconv.Atoi(q.Header.Get("Deadline-Ms"))
	r.note("%s: runs %s, its deadline is in %d ms", server, id, ms)
	ctx, cancel := context.WithDeadline(context.Background(), received.Add(time.Duration(ms)*time.Millisecond))
	defer cancel()
	kind, piece := "text/event-stream", func(i int) string { return fmt.Sprintf("id: %d\ndata: token\n\n", i) }
	if strings.HasPrefix(q.URL.Path, "/submit/") {
		kind, piece = "text/plain", func(i int) string { return fmt.Sprintf("line %d\n\n", i) }
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, id, kind)
	for i := 1; i <= longEvents; i++ {
		select {
		case <-ctx.Done():
			r.note("%s: stops work on %s at its deadline, after piece %d of %d", server, id, i-1, longEvents)
			return
		case <-time.After(interval):
		}
		if _, err := io.WriteString(conn, piece(i)); err != nil {
			return
		}
	}
}

// deadline sends requests of which some reach a slow server, which does not finish them by its deadline. It checks that no answer ends as
// complete before its last piece.
func deadline(r *rig) int {
	r.putConfig(1, route("stream", "/stream/", "streaming", "desk", longTimeoutMs, 1, map[string]any{"gapAimMs": 300, "targetLatencyMs": 900}),
		route("submit", "/submit/", "non_idempotent", "desk", longTimeoutMs, 1, nil))
	for i := range deadlineServers {
		interval := normalInterval
		if i == 0 && r.isTroubled {
			interval = slowEventInterval
		}
		if err := r.startDeadlineServer(fmt.Sprintf("s%d", i), "desk", interval); err != nil {
			return noRun
		}
	}
	h, err := r.addHost("front-1", "ng-west-a", r.store.Address())
	if err != nil || !r.awaitReady() {
		return noRun
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	early, failed, whole := 0, 0, 0
	for i := range longRequests {
		wg.Go(func() {
			kind, rule := "stream", "ORDER"
			if i%2 == 1 {
				kind, rule = "submit", "MIXED"
			}
			id := fmt.Sprintf("%s%d", kind, i)
			conn, err := net.Dial("tcp", h.callers.String())
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbody", kind, id)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			data, err := io.ReadAll(resp.Body)
			pieces := strings.Count(string(data), "\n\n")
			r.note("%s: status %d, %d pieces, error %v", id, resp.StatusCode, pieces, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && resp.StatusCode == http.StatusOK && pieces < longEvents:
				early++
				r.note("%s: %s ended as complete after %d of %d pieces", rule, id, pieces, longEvents)
			case err != nil || resp.StatusCode != http.StatusOK:
				failed++
			case err == nil && pieces == longEvents:
				whole++
			}
		})
		time.Sleep(longPause)
	}
	wg.Wait()
	r.note("%d requests: %d answers whole, %d broken off or failed, %d that ended as complete before their last piece", longRequests, whole, failed, early)
	switch {
	case early > 0:
		return broken
	case !r.isTroubled && whole < longRequests:
		return broken
	}
	return held
}
