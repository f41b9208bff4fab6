package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// writeTwoAnswers writes the answer to request id and right after it an answer to a request that was never sent.
func writeTwoAnswers(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, requestID := range []string{id, "another"} {
		body := "answer to " + requestID
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", requestID, len(body), body)
	}
}

// writeRawAnswer writes an answer with protocol faults directly to the connection.
func (e *Endpoint) writeRawAnswer(w http.ResponseWriter, r *http.Request, id string, fault Fault) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if fault == Garbage {
		_, _ = io.WriteString(conn, "\x00\xff wrong bytes\r\n\r\n")
		return
	}
	if writeEndless(conn, id, fault) {
		return
	}
	body := e.fullBody()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\nConnection: close\r\n\r\n", id, e.cfg.ID)
	if fault == Unframed {
		_, _ = io.WriteString(conn, head+body)
		return
	}
	if fault == CutUnframed && e.cfg.Events > 0 {
		e.writeCutStream(conn, head, r.Header.Get("Last-Event-Id"))
		return
	}
	_, _ = io.WriteString(conn, head+body[:len(body)/2])
	if fault == CutUnframed {
		return
	}
	time.Sleep(resetDelay)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// writeCutStream writes two events after the last one that the caller has, and half of the next.
func (e *Endpoint) writeCutStream(conn net.Conn, head, lastEventID string) {
	last, _ := strconv.Atoi(lastEventID) // an absent header means a new stream
	_, err := io.WriteString(conn, head)
	for i := last + 1; i <= min(last+cutEvents, e.cfg.Events) && err == nil; i++ {
		_, err = io.WriteString(conn, event(i))
		time.Sleep(e.cfg.EventInterval)
	}
	half := event(last + cutEvents + 1)
	_, _ = io.WriteString(conn, half[:len(half)/2])
}

// cutEvents is the number of whole events before a stream is cut.
const cutEvents = 2

// writeEndless writes an endless answer until the caller closes the connection. It returns false for other faults.
func writeEndless(conn net.Conn, id string, fault Fault) bool {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n"
	chunk, interval := strings.Repeat("x", 16<<10), time.Duration(0)
	switch fault {
	case EndlessHeader:
		chunk = "X-More: " + chunk + "\r\n"
	case ManyHeaders:
		return writeManyHeaders(conn, head)
	case EndlessInterim:
		head, chunk = "", "HTTP/1.1 103 Early Hints\r\nLink: "+strings.Repeat("x", 1<<10)+"\r\n\r\n"
	case EndlessExtension:
		head += "Transfer-Encoding: chunked\r\n\r\n1;a="
	case EndlessTrailer:
		head += "Trailer: X-More\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
		chunk = "X-More: " + strings.Repeat("x", 1<<10) + "\r\n"
	case EndlessBody:
		head += "Connection: close\r\n\r\n"
	case Drip:
		chunk, interval = "x", dripInterval
		fallthrough
	case EndlessEvent:
		head += "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: "
	default:
		return false
	}
	_, err := io.WriteString(conn, head)
	for err == nil {
		_, err = io.WriteString(conn, chunk)
		time.Sleep(interval)
	}
	return true
}

// writeManyHeaders writes header fields with different names, some of them a packet, until the caller closes the connection.
func writeManyHeaders(conn net.Conn, head string) bool {
	_, err := io.WriteString(conn, head)
	for n := 0; err == nil; n += 500 {
		var fields strings.Builder
		for i := range 500 {
			fmt.Fprintf(&fields, "%x:\r\n", n+i)
		}
		_, err = io.WriteString(conn, fields.String())
	}
	return true
}

// dripInterval separates the bytes of a Drip, slowInterval the late events at the start of a Slow stream.
const (
	dripInterval = 20 * time.Millisecond
	slowInterval = 400 * time.Millisecond
)

// slowEvents is the number of late events at the start of a Slow stream.
const slowEvents = 3

// resetDelay lets the first half of an answer arrive before the reset, which would discard unread bytes.
const resetDelay = 20 * time.Millisecond

func (e *Endpoint) answersEarly() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault == EarlyAnswer
}
