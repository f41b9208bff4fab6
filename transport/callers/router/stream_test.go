package router

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/sender"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// The ways in which an engine delimits a stream.
const (
	byClose  = "close"
	byChunks = "chunks"
	byLength = "length"
)

// streamEvents are the events of a whole stream, with lines that end in LF and in CR LF, a multi-byte character, a comment
// and an event of several lines.
var streamEvents = []string{
	"id: 1\ndata: première\n\n",
	"id: 2\r\ndata: €uro\r\n\r\n",
	": a comment\nid: 3\nevent: piece\ndata: one\ndata: two\n\n",
	"id: 4\ndata: last\n\n",
}

// eventsUpTo returns the events that end within the first n bytes of the stream.
func eventsUpTo(n int) []string {
	end := 0
	for i, e := range streamEvents {
		if end += len(e); end > n {
			return streamEvents[:i]
		}
	}
	return streamEvents
}

// rawEngine sends a stream in the given framing and ends the connection after some bytes of its body. Every run after the
// first one is whole, in chunks, and begins after the last event that the router has.
type rawEngine struct {
	framing string
	bytes   int
	isReset bool
	// isFramedAsWhole is set if the framing says that the body ends there.
	isFramedAsWhole bool
	// hasEnded has the endpoint of the first run refuse connections from its end on.
	hasEnded bool
	// closeDelay is the time between the last byte of the first run and its end.
	closeDelay time.Duration
	// resumedBytes is where the second run ends, without a length; 0 stands for its whole rest.
	resumedBytes int
	// document is sent in place of the stream, as JSON.
	document string
	// second is the answer of the second run, byte for byte.
	second string
	// isRestarted has all runs begin with the first event.
	isRestarted bool

	runs    atomic.Int64
	servers []*httptest.Server
	resumed atomic.Value
}

func (e *rawEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	run := e.runs.Add(1)
	last := r.Header.Get("Last-Event-Id")
	rest := ""
	for i, event := range streamEvents {
		if e.isRestarted || fmt.Sprint(i+1) > last {
			rest += event
		}
	}
	if run > 1 {
		e.resumed.Store(last)
	}
	if run > 2 || run == 2 && e.resumedBytes == 0 && e.second == "" {
		_, _ = io.WriteString(w, rest)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	switch {
	case run == 2 && e.second != "":
		_, _ = io.WriteString(conn, e.second)
		return
	case run == 2:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+rest[:e.resumedBytes])
		return
	}
	body := strings.Join(streamEvents, "")
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	if e.document != "" {
		body, head = e.document, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	}
	switch e.framing {
	case byLength:
		length := len(body)
		if e.isFramedAsWhole {
			length = e.bytes
		}
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n\r\n"
	default:
		head += "\r\n"
	}
	sent := body[:e.bytes]
	if e.framing == byChunks && sent != "" {
		sent = fmt.Sprintf("%x\r\n%s\r\n", len(sent), sent)
	}
	if e.framing == byChunks && (e.isFramedAsWhole || e.bytes == len(body)) {
		sent += "0\r\n\r\n"
	}
	_, _ = io.WriteString(conn, head+sent)
	time.Sleep(e.closeDelay)
	if e.hasEnded {
		e.closeListener(conn.LocalAddr())
	}
	if e.isReset {
		time.Sleep(10 * time.Millisecond) // a reset discards unread bytes
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (e *rawEngine) closeListener(address net.Addr) {
	for _, s := range e.servers {
		if s.Listener.Addr().String() == address.String() {
			_ = s.Listener.Close()
		}
	}
}

// lastEventDialect passes on the ID after which a stream is resumed.
type lastEventDialect struct{ noHeaders }

func (lastEventDialect) IsOwn(string) bool                               { return false }
func (lastEventDialect) Answer(*http.Response, string) (a sender.Answer) { return a }
func (lastEventDialect) Send(h http.Header, s sender.Send) {
	h.Del("Last-Event-Id")
	if s.LastEventID != "" {
		h.Set("Last-Event-Id", s.LastEventID)
	}
}

type alone struct{}

func (alone) Self() tracker.Member      { return tracker.Member{} }
func (alone) Serving() []tracker.Member { return nil }
func (alone) MaxServing() int           { return 1 }

// callerView is what a caller saw of an answer.
type callerView struct {
	status     int
	body       string
	isComplete bool
}

func newSender(dialect sender.Dialect, list *discoverer.Discoverer) *sender.Sender {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	return sender.New(sender.Options{
		Dialect: dialect, Endpoints: list, Hosts: func() int { return 1 },
		Retry: sender.RetryBudget{Ratio: 1, Allowance: 10, Window: time.Minute},
		Isolator: isolator.New(isolator.Options{
			RequestLimit: 3, PartLimit: 3, Retention: time.Minute, Random: rand.New(rand.NewPCG(2, 1)), Hosts: alone{}, Messenger: messenger.New("key", logs, tally.NoopScope), Clock: clock, Logs: logs,
		}),
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logs: logs, Scope: tally.NoopScope,
	})
}

// callStream sends a stream through a router with three endpoints that the engine serves.
func callStream(t *testing.T, engine *rawEngine, isResumable bool) callerView {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	list := discoverer.New(nil, clock, logs)
	engine.servers = nil
	for i := range 3 {
		server := httptest.NewServer(engine)
		defer server.Close()
		engine.servers = append(engine.servers, server)
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		list.Put(enroller.Endpoint{ID: fmt.Sprint(i), Service: "writer", Address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port())}, 1)
	}
	rt := New(Options{
		Dialect: lastEventDialect{}, Clock: clock, Scope: tally.NoopScope, Logs: logs,
		Sender: newSender(lastEventDialect{}, list),
	})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		rt.stream(ctx, w, &job{
			Job: sender.Job{
				ID: "1", Service: "writer", Method: http.MethodPost, Target: "/", Expires: clock.Now().Add(5 * time.Second), MaxAttempts: 3,
			},
			started: clock.Now(), route: &matcher.Route{Kind: matcher.Stream, Resumable: isResumable},
		})
	}))
	defer host.Close()
	resp, err := http.Get(host.URL)
	require.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerView{status: resp.StatusCode, body: string(data), isComplete: err == nil}
}

// An engine ended a stream without a length in the middle of an event, and its caller got half the event and a regular end. Each
// byte of a stream is a cut point here, in each framing, by a close and by a reset of the connection.
func TestAStreamIsCompleteForItsCallerOnlyIfItEndedBetweenEvents(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	for _, framing := range []string{byClose, byChunks, byLength} {
		for _, isReset := range []bool{false, true} {
			for n := range len(whole) + 1 {
				engine := &rawEngine{framing: framing, bytes: n, isReset: isReset}
				got := callStream(t, engine, false)
				events := strings.Join(eventsUpTo(n), "")
				name := fmt.Sprintf("%s, reset %t, cut after %q", framing, isReset, whole[max(0, n-12):n])
				mayLookComplete := n == len(whole)
				if framing == byClose {
					mayLookComplete = !isReset && n > 0 && len(events) == n
				}
				assert.EqualValues(t, 1, engine.runs.Load(), name)
				if events == "" {
					assert.Equal(t, http.StatusBadGateway, got.status, name)
					continue
				}
				assert.Equal(t, events, got.body, name)
				if !isReset || !mayLookComplete { // a reset may overtake the end of a framed stream
					assert.Equal(t, mayLookComplete, got.isComplete, name)
				}
			}
		}
	}
}

func TestABrokenStreamIsResumedAfterItsLastWholeEvent(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	for _, framing := range []string{byClose, byChunks, byLength} {
		for _, isReset := range []bool{false, true} {
			for n := range len(whole) {
				events := eventsUpTo(n)
				if framing == byClose && !isReset && n > 0 && len(strings.Join(events, "")) == n {
					continue // ends between two events, as a whole stream does
				}
				engine := &rawEngine{framing: framing, bytes: n, isReset: isReset}
				got := callStream(t, engine, true)
				name := fmt.Sprintf("%s, reset %t, cut after %q", framing, isReset, whole[max(0, n-12):n])
				assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, got, name)
				last := ""
				if len(events) > 0 {
					last = fmt.Sprint(len(events))
				}
				assert.Equal(t, last, engine.resumed.Load(), name)
			}
		}
	}
}

func TestAStreamThatEndsInsideAnEventIsBrokenOffHoweverItIsFramed(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	cut := len(streamEvents[0]) + 9
	for _, framing := range []string{byChunks, byLength} {
		got := callStream(t, &rawEngine{framing: framing, bytes: cut, isFramedAsWhole: true}, false)
		assert.Equal(t, callerView{status: http.StatusOK, body: streamEvents[0]}, got, framing)
		got = callStream(t, &rawEngine{framing: framing, bytes: cut, isFramedAsWhole: true}, true)
		assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, got, framing)
		got = callStream(t, &rawEngine{framing: framing, bytes: len(whole), isFramedAsWhole: true}, false)
		assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, got, framing)
	}
}

// A request may ask for an answer in one piece on a route of streams. Its document has no empty line at its end.
func TestADocumentInPlaceOfAStreamIsPassedOnWhole(t *testing.T) {
	const document = `{"choices":[{"text":"é"}]}`
	for _, isCut := range []bool{false, true} {
		engine := &rawEngine{document: document, framing: byClose, bytes: len(document)}
		if isCut {
			engine.bytes -= 3
		}
		got := callStream(t, engine, false)
		if isCut {
			assert.Equal(t, http.StatusBadGateway, got.status)
			continue
		}
		assert.Equal(t, callerView{status: http.StatusOK, body: document, isComplete: true}, got)
	}
}

// A stream without a length that ends between two events looks whole. It is not if its engine ended with it.
func TestAStreamWithoutALengthWhoseEngineHasEndedIsBrokenOff(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	for n := 1; n <= len(streamEvents); n++ {
		sent := strings.Join(streamEvents[:n], "")
		got := callStream(t, &rawEngine{framing: byClose, bytes: len(sent), hasEnded: true}, false)
		assert.Equal(t, callerView{status: http.StatusOK, body: sent}, got, "%d events", n)
		got = callStream(t, &rawEngine{framing: byClose, bytes: len(sent)}, false)
		assert.Equal(t, callerView{status: http.StatusOK, body: sent, isComplete: true}, got, "%d events of an engine that goes on", n)
	}
	sent := strings.Join(streamEvents[:2], "")
	got := callStream(t, &rawEngine{framing: byClose, bytes: len(sent), hasEnded: true}, true)
	assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, got)
}

func TestAStreamWhoseEngineIsSlowToCloseItsConnectionIsNotBrokenOff(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	for _, framing := range []string{byClose, byChunks, byLength} {
		engine := &rawEngine{framing: framing, bytes: len(whole), closeDelay: 500 * time.Millisecond}
		assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, callStream(t, engine, true), framing)
		assert.EqualValues(t, 1, engine.runs.Load(), framing)
	}
}

func TestAResumedStreamThatBeginsAnewIsBrokenOff(t *testing.T) {
	cut := len(streamEvents[0]) + len(streamEvents[1]) + 4
	got := callStream(t, &rawEngine{framing: byChunks, bytes: cut, isRestarted: true}, true)
	assert.Equal(t, callerView{status: http.StatusOK, body: streamEvents[0] + streamEvents[1]}, got)
}

// A stream broke off in its third event, and the next engine answered without an event. Its caller got two events and a regular end.
func TestAResumedStreamIsNotEndedByAnAnswerWithoutAnEvent(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, second := range []string{
		stream + "Content-Length: 0\r\n\r\n",
		stream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		stream + "\r\n",
		stream + "Content-Length: 12\r\n\r\n: a comment\n",
		stream + "Content-Length: 13\r\n\r\n: a comment\n\n",
		stream + "Transfer-Encoding: chunked\r\n\r\nd\r\n: a comment\n\n\r\n0\r\n\r\n",
	} {
		requireResumedElsewhere(t, second)
	}
}

// requireResumedElsewhere checks that a stream that broke off in its third event is resumed once more after a second run that answered
// with other bytes than a stream, and that its caller gets none of these.
func requireResumedElsewhere(t *testing.T, second string) {
	cut := len(streamEvents[0]) + len(streamEvents[1]) + 9
	engine := &rawEngine{framing: byChunks, bytes: cut, second: second}
	got := callStream(t, engine, true)
	got.body = strings.ReplaceAll(got.body, ": a comment\n\n", "") // the stream itself has none of this form
	assert.Equal(t, callerView{status: http.StatusOK, body: strings.Join(streamEvents, ""), isComplete: true}, got, second)
	assert.EqualValues(t, 3, engine.runs.Load(), second)
}

// A stream broke off in its third event, and the next engine answered with an error in place of events. Its caller found the text of the
// error, or all of its head, in the middle of the stream.
func TestAResumedStreamHoldsNothingOfAnAnswerThatIsNoStream(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	const failed = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nfailed\n\n"
	for _, second := range []string{
		failed,
		"HTTP/1.1 500 Internal Server Error\r\n\r\nfailed\n\n",
		"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 206 Partial Content\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: failed\n\n",
		"HTTP/1.1 000\r\nContent-Type: text/event-stream\r\n\r\ndata: failed\n\n",
		"noise", "HTTP/1.1 200 OK\r\nContent-Ty",
		"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nfailed",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 8\r\n\r\nfailed\n\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfailed\n\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<html>\n\nfailed</html>",
		stream + "\r\n" + failed,
		stream + "Content-Length: 91\r\n\r\n" + failed,
		stream + "Content-Length: 27\r\n\r\nevent: error\ndata: failed\n\n",
		stream + "Content-Length: 14\r\n\r\ndata: failed\n\n",
	} {
		requireResumedElsewhere(t, second)
	}
}

func TestAResumedStreamThatEndsInsideAnEventIsResumedAgain(t *testing.T) {
	whole := strings.Join(streamEvents, "")
	first := len(streamEvents[0]) + 5
	rest := strings.Join(streamEvents[1:], "")
	for n := 1; n < len(rest); n++ {
		if got := strings.Join(eventsUpTo(len(streamEvents[0])+n), ""); len(got) == len(streamEvents[0])+n {
			continue // ends between two events, as a whole stream does
		}
		engine := &rawEngine{framing: byClose, bytes: first, resumedBytes: n}
		got := callStream(t, engine, true)
		name := fmt.Sprintf("cut after %q", rest[max(0, n-12):n])
		assert.Equal(t, callerView{status: http.StatusOK, body: whole, isComplete: true}, got, name)
		assert.EqualValues(t, 3, engine.runs.Load(), name)
	}
}
