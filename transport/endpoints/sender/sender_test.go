package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/enroller"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/discoverer"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

// plainDialect has no headers of its own.
type plainDialect struct{}

func (plainDialect) IsOwn(string) bool                    { return false }
func (plainDialect) Send(http.Header, Send)               {}
func (plainDialect) Answer(*http.Response, string) Answer { return Answer{} }

type noHosts struct{}

func (noHosts) Self() tracker.Member      { return tracker.Member{} }
func (noHosts) Serving() []tracker.Member { return nil }
func (noHosts) MaxServing() int           { return 1 }

// newSender returns a sender with one endpoint of the service "desk" per handler; nil stands for an endpoint that refuses
// connections.
func newSender(t *testing.T, handlers ...http.HandlerFunc) *Sender {
	clock, logs := clockwork.NewRealClock(), hclog.NewNullLogger()
	list := discoverer.New(nil, clock, logs)
	for i, h := range handlers {
		server := httptest.NewServer(h)
		address := server.Listener.Addr().(*net.TCPAddr).AddrPort()
		if h == nil {
			server.Close()
		}
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		list.Put(enroller.Endpoint{ID: fmt.Sprint(i), Service: "desk", Address: netip.AddrPortFrom(address.Addr(), address.Port())}, 1)
	}
	return New(Options{
		Dialect: plainDialect{}, Endpoints: list, Hosts: func() int { return 1 }, Retry: RetryBudget{Ratio: 1, Allowance: 10, Window: time.Minute},
		Isolator: isolator.New(isolator.Options{
			RequestLimit: 3, PartLimit: 3, Retention: time.Minute, Random: rand.New(rand.NewPCG(2, 1)), Hosts: noHosts{}, Messenger: messenger.New("key", logs, tally.NoopScope), Clock: clock, Logs: logs,
		}),
		Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logs: logs, Scope: tally.NoopScope,
	})
}

// newJob returns a request without headers or a body.
func newJob() *Job {
	return &Job{ID: "1", Service: "desk", Method: http.MethodGet, Target: "/x?y=1", Expires: time.Now().Add(10 * time.Second), MaxAttempts: 2}
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, text+r.URL.String()) }
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestALookupIsAlsoSentToASecondEndpointIfTheFirstIsSlow(t *testing.T) {
	for range 4 { // either endpoint may be picked first
		s := newSender(t, hang, answerWith("whole "))
		j := newJob()
		j.Hedge = 10 * time.Millisecond
		reply, err := s.Lookup(context.Background(), j)
		require.NoError(t, err)
		assert.Equal(t, "whole /x?y=1", string(reply.Body))
		assert.Equal(t, "1", reply.Endpoint.ID)
	}
}

func TestALookupWithoutAHedgeIsSentToOneEndpointOnly(t *testing.T) {
	var requests atomic.Int64
	slow := func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		time.Sleep(100 * time.Millisecond)
		answerWith("whole ")(w, r)
	}
	s := newSender(t, slow, slow)
	_, err := s.Lookup(context.Background(), newJob())
	require.NoError(t, err)
	assert.EqualValues(t, 1, requests.Load())
}

func TestAnAtMostOnceRequestThatMayHaveRunIsNotSentAgain(t *testing.T) {
	s := newSender(t, abort, abort)
	_, err := s.AtMostOnce(context.Background(), newJob())
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, Unknown, failed.Outcome)
}

func TestAnAtMostOnceRequestIsSentPastEndpointsThatRefuseConnections(t *testing.T) {
	for range 4 {
		s := newSender(t, nil, nil, answerWith("whole "))
		reply, err := s.AtMostOnce(context.Background(), newJob())
		require.NoError(t, err)
		assert.Equal(t, "2", reply.Endpoint.ID)
	}
	_, err := newSender(t, nil).AtMostOnce(context.Background(), newJob())
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, NotSent, failed.Outcome)
}

func TestASendAfterTheContextEndedDoesNotAffectTheHealthOfItsEndpoint(t *testing.T) {
	s := newSender(t, answerWith(""))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e := s.Endpoints.Service("desk")[0]
	_, err := s.Open(ctx, newJob(), e, Send{})
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, NotSent, failed.Outcome)
	assert.False(t, e.IsEjected(s.Clock.Now()))
}

// Many callers send the same lookup. Two crashes of endpoints days apart must not mark it as a request that crashes
// endpoints.
func TestAnAnsweredRequestIsNoLongerSuspect(t *testing.T) {
	for name, send := range map[string]func(*Sender, *Job) (*Reply, error){
		"lookup": func(s *Sender, j *Job) (*Reply, error) { return s.Lookup(context.Background(), j) },
		"once":   func(s *Sender, j *Job) (*Reply, error) { return s.AtMostOnce(context.Background(), j) },
	} {
		s := newSender(t, answerWith(""))
		j := newJob()
		j.Fingerprint = Fingerprint(j)
		s.Isolator.RecordCrash(isolator.Endpoint{ID: "crashed"}, j.Fingerprint)
		require.True(t, s.Isolator.IsSuspect(j.Fingerprint))
		_, err := send(s, j)
		require.NoError(t, err)
		assert.False(t, s.Isolator.IsSuspect(j.Fingerprint), name)
	}
}

// writeUnframed returns a handler that answers without a length and closes the connection.
func writeUnframed(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+body)
	}
}

// A document without a length that is cut has a regular end. A caller got half of it as a success.
func TestADocumentWithoutALengthIsCompleteOnlyIfItCanBeParsed(t *testing.T) {
	const document = `{"receipt":"é","items":[1,{"n":2}]}`
	for n := range len(document) {
		_, err := newSender(t, writeUnframed("application/json; charset=utf-8", document[:n])).AtMostOnce(context.Background(), newJob())
		var failed *SendError
		if assert.ErrorAs(t, err, &failed, document[:n]) {
			assert.Equal(t, Unknown, failed.Outcome, document[:n])
		}
	}
	for _, c := range [][2]string{{"application/json", document}, {"text/plain", document[:9]}, {"", ""}} {
		reply, err := newSender(t, writeUnframed(c[0], c[1])).AtMostOnce(context.Background(), newJob())
		require.NoError(t, err)
		assert.Equal(t, c[1], string(reply.Body))
	}
}

// A request was checked when it arrived. Its verdict came while it waited for a place, and it was sent all the same.
func TestARequestThatIsConvictedBeforeItsSendReachesNoEndpoint(t *testing.T) {
	for name, send := range map[string]func(*Sender, *Job) (*Reply, error){
		"lookup": func(s *Sender, j *Job) (*Reply, error) { return s.Lookup(context.Background(), j) },
		"once":   func(s *Sender, j *Job) (*Reply, error) { return s.AtMostOnce(context.Background(), j) },
		"prefill": func(s *Sender, j *Job) (*Reply, error) {
			return s.Exchange(context.Background(), j, s.Endpoints.Service(j.Service)[0], Send{Prefill: true})
		},
	} {
		var requests atomic.Int64
		count := func(http.ResponseWriter, *http.Request) { requests.Add(1) }
		s := newSender(t, count, count)
		j := newJob()
		require.False(t, s.IsConvicted(j))
		for i := range 3 {
			s.Isolator.RecordCrash(isolator.Endpoint{ID: fmt.Sprint("crashed-", i)}, j.Fingerprint)
		}
		_, err := send(s, j)
		var failed *SendError
		require.ErrorAs(t, err, &failed, name)
		assert.Equal(t, NotSent, failed.Outcome, name)
		assert.True(t, failed.IsConvicted, name)
		assert.Zero(t, requests.Load(), name)
		assert.Zero(t, j.Sends.Load(), name)
	}
}

// Prefill engines read the parts of a prompt and write nothing, and an engine that has written output on a part was not crashed by it.
func TestOnlyEnginesThatMayHaveBegunToWriteBlameThePartsOfAPrompt(t *testing.T) {
	for _, c := range []struct {
		name        string
		stage       enroller.Stage
		hasOutput   bool
		isConvicted bool
	}{
		{name: "decode engine", stage: enroller.Decode, isConvicted: true},
		{name: "decode engine, after output", stage: enroller.Decode, hasOutput: true},
		{name: "prefill engine", stage: enroller.Prefill},
	} {
		s := newSender(t, abort, abort, abort)
		parts := []uint64{0xab, 0xbad}
		for i, e := range s.Endpoints.Service(newJob().Service) {
			next := e.Endpoint
			next.Stage = c.stage
			s.Endpoints.Put(next, 2)
			j := newJob()
			j.Body, j.Parts = fmt.Appendf(nil, "request %d", i), parts
			j.HasOutput.Store(c.hasOutput)
			require.False(t, s.IsConvicted(j), c.name)
			_, err := s.Exchange(context.Background(), j, s.Endpoints.Find(j.Service, e.ID), Send{})
			require.Error(t, err)
			s.Isolator.RecordRemoval(e.ID)
			time.Sleep(200 * time.Millisecond) // ends in one burst count less
		}
		j := newJob()
		j.Body, j.Parts = []byte("another request"), parts
		assert.Equal(t, c.isConvicted, s.IsConvicted(j), c.name)
	}
}

// unframed writes an answer without a length and closes its connection. If the endpoint crashes, it accepts no more connections then.
func unframed(body string, crashes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if crashes {
			_ = r.Context().Value(http.ServerContextKey).(*http.Server).Close() // closes the listener
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body)
		_ = conn.Close()
	}
}

// Half of an answer without a length was passed on as a whole one when its endpoint crashed.
func TestAnAnswerWithoutALengthWhoseEndpointHasEndedIsNotComplete(t *testing.T) {
	s := newSender(t, unframed("half", true))
	_, err := s.AtMostOnce(t.Context(), newJob())
	var failed *SendError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, Unknown, failed.Outcome)

	s = newSender(t, unframed("whole", false))
	reply, err := s.AtMostOnce(t.Context(), newJob())
	require.NoError(t, err)
	assert.Equal(t, "whole", string(reply.Body))
}

func TestALookupWhoseEndpointCrashedInAnAnswerWithoutALengthIsSentToAnother(t *testing.T) {
	for range 10 { // the endpoint is chosen at random
		s := newSender(t, unframed("half", true), answerWith("whole "))
		reply, err := s.Lookup(t.Context(), newJob())
		require.NoError(t, err)
		assert.Equal(t, "whole /x?y=1", string(reply.Body))
	}
}

// writeRaw writes an answer byte for byte and closes the connection.
func writeRaw(answer string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}
}

// invalidAnswers are answers that a client must not use.
var invalidAnswers = []string{
	"HTTP/1.1 000\r\nContent-Length: 6\r\n\r\nengine",
	"HTTP/1.1 101 Switching Protocols\r\nContent-Length: 6\r\n\r\nengine",
	"HTTP/1.1 999\r\nContent-Length: 6\r\n\r\nengine",
	"HTTP/1.1 200 OK\r\nX Trace: 1\r\nContent-Length: 6\r\n\r\nengine",
	"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nengine",
}

func TestAnInvalidAnswerLeavesTheOutcomeUnknownAndIsNoCrash(t *testing.T) {
	for _, answer := range invalidAnswers {
		for _, o := range []Send{{}, {Prefill: true}} {
			s := newSender(t, writeRaw(answer))
			j := newJob()
			require.False(t, s.IsConvicted(j))
			_, err := s.Exchange(t.Context(), j, s.Endpoints.Service("desk")[0], o)
			var failed *SendError
			require.ErrorAs(t, err, &failed, answer)
			assert.Equal(t, Unknown, failed.Outcome)
			assert.False(t, s.Isolator.IsSuspect(j.Fingerprint))
		}
	}
}

func TestALookupWithAnInvalidAnswerIsSentToAnotherEndpoint(t *testing.T) {
	for _, answer := range invalidAnswers {
		for _, s := range []*Sender{newSender(t, writeRaw(answer), answerWith("whole ")), newSender(t, answerWith("whole "), writeRaw(answer))} {
			reply, err := s.Lookup(t.Context(), newJob())
			require.NoError(t, err, answer)
			assert.Equal(t, "whole /x?y=1", string(reply.Body))
		}
	}
}

// A path that began with two slashes reached the endpoint as another path and host name.
func TestTheTargetReachesTheEndpointUnchanged(t *testing.T) {
	var target, host atomic.Value
	s := newSender(t, func(_ http.ResponseWriter, r *http.Request) {
		target.Store(r.RequestURI)
		host.Store(r.Host)
	})
	for _, text := range []string{
		"/", "/x?y=1", "//filing/1", "//filing/1?", "//filing/1?a=b&c=%2F", "///", "//", "//a%2Fb/%41;c=d", "//é", "/a//b", "//h:80/p", "//[::1]/x", "/a|b\"",
	} {
		target.Store("")
		j := newJob()
		j.Target, j.Host = text, "shop.example"
		_, err := s.AtMostOnce(t.Context(), j)
		var failed *SendError
		if errors.As(err, &failed) {
			assert.Equal(t, NotSent, failed.Outcome, text)
			assert.Equal(t, "//é", text, "the only target that is not escaped as it must be")
			assert.Empty(t, target.Load())
			continue
		}
		require.NoError(t, err, text)
		assert.Equal(t, text, target.Load())
		assert.Equal(t, "shop.example", host.Load(), text)
	}
}

// The kernel accepted a connection for an endpoint that was being killed, which passed for one that goes on.
func TestAnEndpointThatClosesANewConnectionAtOnceHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	s := newSender(t)
	e := &discoverer.Endpoint{Endpoint: enroller.Endpoint{Address: l.Addr().(*net.TCPAddr).AddrPort()}}
	assert.True(t, s.HasEnded(t.Context(), e))
}
