package rig

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = playUpload }

const (
	// memoryMB is the memory limit of a process, as its settings give it.
	memoryMB = 120
	// uploadClients is the usual number of clients, burstClients 2.3 times as many, when many users come at once.
	uploadClients = 18
	burstClients  = 41
	// beforeBurst is the time before the burst, burstTime its length.
	beforeBurst = 10 * time.Second
	burstTime   = 10 * time.Second
	// uploadBytes is the size of a request's body, a little under maxBodyBytes.
	uploadBytes = 4_000_000
	// uploadTime is the time over which a client sends a body: all clients of a burst stay below the link of the machine.
	uploadTime    = 1800 * time.Millisecond
	uploadWork    = 1200 * time.Millisecond
	uploadTimeout = 10 * time.Second
)

// playUpload has clients send large requests on kept connections. The platform, which ends a process that exceeds its memory limit, is
// played by watchMemory.
func playUpload(t *Trial) (int, error) {
	var engines []*Plain
	for i, zone := range []string{"west-a", "west-b", "west-a", "west-b"} {
		e, err := StartPlain(t.Store, fmt.Sprintf("i-desk-%d", i+1), "desk", zone, uploadWork)
		if err != nil {
			return couldNotRun, err
		}
		t.Cleanup(e.Exit)
		engines = append(engines, e)
	}
	t.PutConfig([]map[string]any{{
		"name": "filing", "hostname": "shop.example", "pathPrefix": "/filing/", "routeType": "non_idempotent", "timeoutMs": uploadTimeout.Milliseconds(),
		"targetLatencyMs": 5000, "priority": 1, "maxAttempts": 2, "service": "desk",
	}}, "desk")
	if err := t.StartHosts(func(int) string { return t.Store.Address }, "west-a"); err != nil {
		return couldNotRun, err
	}
	h := t.Hosts[0]
	killed := make(chan struct{})
	done := make(chan struct{})
	go t.watchMemory(h, killed, done)
	var mu sync.Mutex
	var outcomes []upload
	var wait sync.WaitGroup
	add := func(from, to int) {
		t.Record.Printf(time.Now(), "%d clients send bodies of %d bytes, each over %s", to, uploadBytes, uploadTime)
		for c := from; c < to; c++ {
			wait.Go(func() {
				time.Sleep(rand.N(uploadTime))
				client := uploader{address: h.Front}
				defer client.close()
				for n := 0; ; n++ {
					select {
					case <-done:
						return
					case <-killed:
						return
					default:
					}
					u := client.send(fmt.Sprintf("c%d-%03d", c, n))
					mu.Lock()
					outcomes = append(outcomes, u)
					mu.Unlock()
					if u.Err != "" {
						return
					}
				}
			})
		}
	}
	add(0, uploadClients)
	time.Sleep(beforeBurst)
	if t.HasTrouble {
		add(uploadClients, burstClients)
	}
	select {
	case <-killed:
	case <-time.After(burstTime):
	}
	close(done)
	wait.Wait()
	return t.judgeUpload(engines, outcomes), nil
}

// watchMemory ends the process once its anonymous memory exceeds the limit.
func (t *Trial) watchMemory(h *Host, killed, done chan struct{}) {
	peak := 0.0
	for {
		select {
		case <-done:
			t.Record.Printf(time.Now(), "the process has used up to %.0f MB", peak)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := anonymousMB(h.cmd.Process.Pid)
		peak = max(peak, used)
		if used > memoryMB {
			h.Signal(syscall.SIGKILL)
			t.Record.Printf(time.Now(), "%s uses %.0f MB, its limit is %d MB: the platform kills it", h.Name, used, memoryMB)
			close(killed)
			return
		}
	}
}

// anonymousMB returns the anonymous memory of a process in megabytes, without the pages of its program file and without the
// kernel's buffers for its sockets.
func anonymousMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return float64(kb) / 1024
		}
	}
	return 0
}

// uploader is a client that keeps its connection.
type uploader struct {
	address string
	conn    net.Conn
	r       *bufio.Reader
}

// upload is the outcome of one request. IsKept is set if its connection had served one before.
type upload struct {
	Outcome
	IsKept bool
}

func (u *uploader) close() {
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

func (u *uploader) send(id string) (out upload) {
	out = upload{Outcome: Outcome{ID: id, Host: u.address, Sent: time.Now()}, IsKept: u.conn != nil}
	err := u.exchange(id, &out)
	out.Ended = time.Now()
	if err != nil {
		out.Err = err.Error()
	}
	return out
}

func (u *uploader) exchange(id string, out *upload) error {
	if u.conn == nil {
		conn, err := net.DialTimeout("tcp", u.address, time.Second)
		if err != nil {
			return err
		}
		u.conn, u.r = conn, bufio.NewReader(conn)
	}
	_ = u.conn.SetDeadline(time.Now().Add(uploadTimeout + time.Second))
	if _, err := fmt.Fprintf(u.conn, "POST /filing/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, uploadTimeout.Milliseconds(), uploadBytes); err != nil {
		return err
	}
	const pieces = 60
	piece := []byte(strings.Repeat("x", uploadBytes/pieces))
	for n := range pieces {
		if n == pieces-1 {
			piece = append(piece, strings.Repeat("x", uploadBytes%pieces)...)
		}
		if _, err := u.conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(uploadTime / pieces)
	}
	resp, err := http.ReadResponse(u.r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	out.Status, out.Body = resp.StatusCode, string(data)
	if resp.Close {
		u.close()
		u.conn = nil
	}
	return err
}

// judgeUpload checks LOST: no more than three requests from kept connections are passed on to a sound engine and their connections closed
// without an answer. A process that ends by itself, or because of its memory, excuses nothing.
func (t *Trial) judgeUpload(engines []*Plain, outcomes []upload) int {
	ran := make(map[string]Run)
	for _, e := range engines {
		for _, r := range e.Runs() {
			ran[r.ID] = r
		}
	}
	slices.SortFunc(outcomes, func(a, b upload) int { return a.Sent.Compare(b.Sent) })
	answers, lost := 0, 0
	for _, o := range outcomes {
		r, hasRun := ran[o.ID]
		t.Record.Printf(o.Sent, "%s: %s; %s", o.ID, describe(o.Outcome), describeRun(t.Record, r, hasRun))
		switch {
		case o.Err == "" && o.Status == 200:
			answers++
		case o.Err != "" && hasRun && o.IsKept:
			lost++
			t.Record.Printf(o.Ended, "LOST: %s, on a kept connection, was passed on to %s and got no answer", o.ID, r.Engine)
		}
	}
	t.Record.Printf(time.Now(), "%d requests: %d answered 200, %d lost on kept connections", len(outcomes), answers, lost)
	switch {
	case lost > 3:
		return broken
	case answers < 20:
		return couldNotRun
	}
	return held
}
