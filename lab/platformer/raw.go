package platformer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answerTwice answers a request and one that was never sent, in one go.
func writeTwoAnswers(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for _, to := range []string{id, "another"} {
		body := "answer to " + to
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", to, len(body), body)
	}
}

// answerRaw writes an answer on the bare connection.
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

// sendEndless sends what a fault has without end, and returns false for the other faults.
func writeEndless(conn net.Conn, id string, fault Fault) bool {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n"
	piece, pause := strings.Repeat("x", 16<<10), time.Duration(0)
	switch fault {
	case EndlessHeader:
		piece = "X-More: " + piece + "\r\n"
	case EndlessBody:
		head += "Connection: close\r\n\r\n"
	case Drip:
		piece, pause = "x", dripInterval
		fallthrough
	case EndlessEvent:
		head += "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: "
	default:
		return false
	}
	_, err := io.WriteString(conn, head)
	for err == nil {
		_, err = io.WriteString(conn, piece)
		time.Sleep(pause)
	}
	return true
}

// dripPause is the time between two bytes of a Drip, slowPause that between the first events of a Slow stream.
const (
	dripInterval = 20 * time.Millisecond
	slowInterval = 400 * time.Millisecond
)

// slowEvents is the number of events of a Slow stream that come late.
const slowEvents = 3

// resetAfter is the time that the part of an answer before a reset has to arrive.
const resetDelay = 20 * time.Millisecond
