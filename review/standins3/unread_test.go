//go:build review3

package standins3

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unread"] = unread }

const (
	// slowReports answers of slowBytes with a length, and one without, are read slowly. Together they take the memory of the host for
	// answers, an eighth of 120 MiB.
	slowReports = 7
	slowBytes   = 2_000_000
	// victimBytes is the size of the answer to a caller that reads at once.
	victimBytes = 2_000_000
	// slowStep bytes are read every slowStepInterval for slowTime.
	slowStep         = 2000
	slowStepInterval = 100 * time.Millisecond
)

// answer is what a caller got.
type answer struct {
	status int
	seal   string
	length int64
	read   int64
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, seal %q, announced length %d, %d bytes read, error %v", a.status, a.seal, a.length, a.read, a.err)
}

// ask sends a request for an answer of n bytes with the given framing. A slow caller reads slowly for slowTime, and then the rest at once.
func (h *host) ask(id string, n int, framing string, isSlow bool) answer {
	var conn net.Conn
	var err error
	if isSlow {
		conn, err = h.dialSlow()
	} else {
		conn, err = net.Dial("tcp", h.callers.String())
	}
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /report/%d/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\n\r\n", n, framing, id)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, slowStep), nil)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), length: resp.ContentLength}
	for end := time.Now().Add(slowTime); isSlow && time.Now().Before(end) && a.err == nil; time.Sleep(slowStepInterval) {
		var m int64
		m, a.err = io.CopyN(io.Discard, resp.Body, slowStep)
		a.read += m
	}
	if a.err == nil {
		var m int64
		m, a.err = io.Copy(io.Discard, resp.Body)
		a.read += m
	}
	return a
}

// unread has some callers read answers slowly, and checks that another one gets either its complete answer or none.
func unread(r *rig) int {
	r.putConfig(1, route("report", "/report/", "idempotent", "desk", 14000, 1, nil))
	if err := r.startService("s0", "desk"); err != nil {
		return noRun
	}
	h, err := r.addHost("front-1", "ng-west-a", r.store.Address())
	if err != nil || !r.awaitReady() {
		return noRun
	}
	var wg sync.WaitGroup
	askSlowly := func(id, framing string) {
		wg.Go(func() {
			r.note("%s asks for %d bytes, framed by %s", id, slowBytes, framing)
			r.note("%s: %s", id, h.ask(id, slowBytes, framing, r.isTroubled))
		})
	}
	for i := range slowReports {
		askSlowly(fmt.Sprintf("slow%d", i), "length")
	}
	time.Sleep(time.Second)
	askSlowly(fmt.Sprintf("slow%d", slowReports), "close")
	time.Sleep(time.Second)
	r.note("victim asks for %d bytes, framed by close", victimBytes)
	a := h.ask("victim", victimBytes, "close", false)
	r.note("victim: %s", a)
	wg.Wait()
	switch {
	case a.status == http.StatusOK && a.err == nil && a.read != victimBytes:
		r.note("MIXED: the victim got a success that looks complete with %d of the %d bytes of the answer", a.read, victimBytes)
		return broken
	case !r.isTroubled && a.read != victimBytes:
		r.note("the victim's answer is not whole although nobody read slowly")
		return broken
	}
	return held
}
