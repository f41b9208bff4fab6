//go:build review3

package standins3

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen"] = frozen }

const (
	// pieces of pieceBytes make an answer, one every pieceInterval.
	pieces        = 60
	pieceBytes    = 16 << 10
	pieceInterval = 30 * time.Millisecond
	// frozenCalls is the number of calls that are being answered while the host stands still, frozenFor is for how long.
	frozenCalls = 8
	frozenFor   = 4 * time.Second
	// frozenAfter is when the host is stopped after the calls were sent.
	frozenAfter = 500 * time.Millisecond
)

// frozen stops a host while it reads answers, and checks that each caller gets its complete answer or none that looks complete.
func frozen(r *rig) int {
	r.putConfig(1, route("submit", "/paced/", "non_idempotent", "desk", 14000, 1, nil))
	if err := r.startService("s0", "desk"); err != nil {
		return noRun
	}
	h, err := r.addHost("front-1", "ng-west-a", r.store.Address())
	if err != nil || !r.awaitReady() {
		return noRun
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	code := held
	for i := range frozenCalls {
		wg.Go(func() {
			id := fmt.Sprintf("call%d", i)
			r.note("%s: sent", id)
			conn, err := net.Dial("tcp", h.callers.String())
			if err != nil {
				r.note("%s: %s", id, err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST /paced/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbody", id)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				r.note("%s: %s", id, err)
				return
			}
			var body bytes.Buffer
			_, err = io.Copy(&body, resp.Body)
			isWhole := body.Len() == pieces*pieceBytes
			r.note("%s: status %d, seal %q, announced length %d, %d of %d bytes, error %v", id, resp.StatusCode, resp.Header.Get("Response-Seal"), resp.ContentLength,
				body.Len(), pieces*pieceBytes, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case resp.StatusCode == http.StatusOK && err == nil && !isWhole:
				r.note("MIXED: %s got a success that looks complete with %d of the %d bytes of the answer", id, body.Len(), pieces*pieceBytes)
				code = broken
			case !r.isTroubled && !isWhole:
				r.note("%s did not get its whole answer although the host was not stopped", id)
				code = broken
			}
		})
	}
	time.Sleep(frozenAfter)
	if r.isTroubled {
		r.note("the host freezes for %s", frozenFor)
		_ = h.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(frozenFor)
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		r.note("the host wakes")
	}
	wg.Wait()
	return code
}
