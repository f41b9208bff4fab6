//go:build review3

package standins3

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stream"] = stream }

const (
	// streamCallers is the number of callers, each with a stream of its own.
	streamCallers = 8
	// slowInterval is the time between two events that a slow caller reads. After slowTime it reads the rest at once.
	slowInterval = 1500 * time.Millisecond
)

// streamResult is what a caller got of a stream.
type streamResult struct {
	status int
	events int
	last   string
	// isComplete is set if the answer ended regularly.
	isComplete bool
	err        error
}

func (s streamResult) String() string {
	return fmt.Sprintf("status %d, %d events, the last one is %q, complete: %t, error %v", s.status, s.events, s.last, s.isComplete, s.err)
}

// readStream sends a request for a stream and reads it, slowly at first if isSlow is set.
func (h *host) readStream(id string, isSlow bool) (s streamResult) {
	var conn net.Conn
	if conn, s.err = h.dialSlow(); s.err != nil {
		return s
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /stream/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbody", id, id)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		s.err = err
		return s
	}
	s.status = resp.StatusCode
	begun := time.Now()
	r := bufio.NewReaderSize(resp.Body, 4096)
	for {
		line, err := r.ReadSlice('\n')
		text := strings.TrimSpace(string(line))
		if value, ok := strings.CutPrefix(text, "id: "); ok {
			s.last = value
		}
		if text == "" && err == nil {
			s.events++
			if isSlow && time.Since(begun) < slowTime {
				time.Sleep(slowInterval)
			}
		}
		if errors.Is(err, io.EOF) {
			s.isComplete = true
			return s
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			s.err = err
			return s
		}
	}
}

// stream has callers read streams slowly for a time, and checks that no stream ends as complete before its last event.
func stream(r *rig) int {
	r.putConfig(1, route("stream", "/stream/", "streaming", "desk", 14000, 1, map[string]any{"gapAimMs": 300, "targetLatencyMs": 900}))
	if err := r.startService("s0", "desk"); err != nil {
		return noRun
	}
	h, err := r.addHost("front-1", "ng-west-a", r.store.Address())
	if err != nil || !r.awaitReady() {
		return noRun
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	results := make([]streamResult, streamCallers)
	for i := range results {
		wg.Go(func() {
			id := fmt.Sprintf("stream%d", i)
			r.note("%s: sent; its caller reads slowly: %t", id, r.isTroubled)
			results[i] = h.readStream(id, r.isTroubled)
			r.note("%s: %s", id, results[i])
		})
	}
	wg.Wait()
	code := held
	for i, s := range results {
		isWhole := s.last == fmt.Sprint(streamEvents)
		if s.status == http.StatusOK && s.isComplete && !isWhole {
			r.note("ORDER: stream%d ended as complete before its last event", i)
			code = broken
		}
		if !r.isTroubled && !isWhole {
			r.note("stream%d is not whole although nobody read slowly", i)
			code = broken
		}
	}
	return code
}
