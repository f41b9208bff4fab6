package emulator

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
func (e *Endpoint) writeRawAnswer(w http.ResponseWriter, id string, fault Fault) {
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
	_, _ = io.WriteString(conn, head+body[:len(body)/2])
	time.Sleep(resetDelay)
	_ = conn.(*net.TCPConn).SetLinger(0)
}

// writeEndless writes an endless answer until the caller closes the connection. It returns false for other faults.
func writeEndless(conn net.Conn, id string, fault Fault) bool {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n"
	chunk, interval := strings.Repeat("x", 16<<10), time.Duration(0)
	switch fault {
	case EndlessHeader:
		chunk = "X-More: " + chunk + "\r\n"
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

// dripInterval separates the bytes of a Drip, slowInterval the late events at the start of a Slow stream.
const (
	dripInterval = 20 * time.Millisecond
	slowInterval = 400 * time.Millisecond
)

// slowEvents is the number of late events at the start of a Slow stream.
const slowEvents = 3

// resetDelay lets the first half of an answer arrive before the reset, which would discard unread bytes.
const resetDelay = 20 * time.Millisecond
