//go:build review2

package standins2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/emulator"
)

func init() { cases["refused"] = refused }

const (
	// reportBytes is the size of the answer that slow callers read. It has no length and ends with its connection. The kernel takes some
	// megabytes of it; the host reads it into a buffer that uses up its memory for answers, an eighth of 120 MB.
	reportBytes = 14_000_000
	slowCallers = 3
	// slowBufferBytes is the receive buffer of a slow caller.
	slowBufferBytes = 32 << 10
	// slowBytesPerSecond is what a slow caller reads.
	slowBytesPerSecond = 128 << 10
	// failureBytes is the size of the page with which the server reports its failure.
	failureBytes = 24 << 10
	// briefs is the number of streaming requests.
	briefs = 8
	// briefTimeoutMs is the route's timeout, and callerDeadlineMs how long its callers wait.
	briefTimeoutMs   = 3000
	callerDeadlineMs = 14000
)

// runs counts the requests that servers have begun to work on.
type runs struct {
	mu sync.Mutex
	n  map[string]int
}

func (r *runs) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == nil {
		r.n = make(map[string]int)
	}
	r.n[id]++
	return r.n[id]
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[id]
}

// refused: streaming requests that a server has run and failed are answered 503 while slow callers hold the memory for answers.
func refused() {
	store := emulator.NewStore()
	var ran runs
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		if want := r.Header.Get("Expect-Instance"); want != "i-1" {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ran.add(id)
		w.Header().Set("Response-Seal", "seal."+id)
		if strings.HasPrefix(r.URL.Path, "/brief/") {
			note("server runs %s", id)
			time.Sleep(100 * time.Millisecond)
			w.Header().Set("Content-Type", "text/html")
			w.Header().Set("Content-Length", strconv.Itoa(failureBytes))
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = io.WriteString(w, strings.Repeat("x", failureBytes))
			note("server has failed %s with its own 500", id)
			return
		}
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity") // no length
		_, _ = io.WriteString(w, strings.Repeat("r", reportBytes))
	}))
	announce(store, "i-1", "desk", srv.Listener.Addr().String(), "")
	putConfig(store, 1, nil,
		route("report", "/report/", "idempotent", "desk", nil),
		route("brief", "/brief/", "streaming", "desk", map[string]any{"gapAimMs": 300, "timeoutMs": briefTimeoutMs}))
	h := newHost("front-1", store.Address().String())
	h.start()
	h.awaitReady()
	note("host ready")

	for i := range slowCallers {
		go readReport(h, fmt.Sprintf("report-%d", i))
	}
	time.Sleep(time.Second)

	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	for i := range briefs {
		wg.Go(func() {
			id := fmt.Sprintf("brief-%d", i)
			status, seal, took := callBrief(h, id)
			note("caller of %s gets %d, seal %q, after %d ms; the server has run it %d times", id, status, seal, took.Milliseconds(), ran.of(id))
			if ran.of(id) > 0 && (status == 503 || status == 429 || status == 408 || status == 421) {
				mu.Lock()
				broken++
				mu.Unlock()
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	judge(broken > 0, "%d of %d streaming requests that may not be repeated were answered as not run, and had run", broken, briefs)
}

// readReport reads a report, slowly if there is trouble.
func readReport(h *host, id string) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			if hasTrouble {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes)
			}
		})
	}}
	conn, err := dialer.Dial("tcp", h.front)
	if err != nil {
		cannotRun("%s", err)
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET /report/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, callerDeadlineMs)
	b := bufio.NewReaderSize(conn, 4096)
	line, err := b.ReadString('\n')
	note("caller of %s reads %q %v", id, strings.TrimSpace(line), err)
	piece := make([]byte, 16<<10)
	read := 0
	for {
		n, err := b.Read(piece)
		read += n
		if err != nil || read > reportBytes {
			note("caller of %s has read %d bytes, %v", id, read, err)
			return
		}
		if hasTrouble {
			time.Sleep(time.Duration(float64(n) / slowBytesPerSecond * float64(time.Second)))
		}
	}
}

// callBrief sends one streaming request on a connection of its own.
func callBrief(h *host, id string) (status int, seal string, took time.Duration) {
	c := http.Client{Timeout: callerDeadlineMs * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.front+"/brief/1", strings.NewReader("brief "+id))
	if err != nil {
		cannotRun("%s", err)
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.Itoa(callerDeadlineMs))
	begin := time.Now()
	note("caller sends %s", id)
	resp, err := c.Do(r)
	if err != nil {
		note("caller of %s: %v", id, err)
		return 0, "", time.Since(begin)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if v := resp.Header.Get("Retry-After"); v != "" {
		note("caller of %s is told to come back after %s s", id, v)
	}
	return resp.StatusCode, resp.Header.Get("Response-Seal"), time.Since(begin)
}
