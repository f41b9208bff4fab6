package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/dialer"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/watcher"
)

const (
	// maxAnswerBytes limits the size of a prefill engine's answer.
	maxAnswerBytes = 1 << 20
	// maxEventBytes limits the size of one server-sent event.
	maxEventBytes = 64 << 10
	// probeTimeout limits the check whether an engine still accepts connections.
	probeTimeout = 500 * time.Millisecond
	// stepSampleTokens is the number of tokens over which one sample of the time per token is averaged.
	stepSampleTokens = 20
	// eventPrefix precedes the data of a server-sent event.
	eventPrefix = "data: "
	// doneMarker is the data of the last event of a complete answer.
	doneMarker = "[DONE]"
)

// EngineError reports an engine that refused a request or interrupted its stream.
type EngineError struct {
	Engine string
	Reason string
}

func (e *EngineError) Error() string {
	return fmt.Sprintf("generator: unable to use engine %s: %s", e.Engine, e.Reason)
}

// UnreachableError reports a request that was not sent because the connection to the engine failed.
type UnreachableError struct {
	Engine string
	Reason string
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("generator: unable to reach engine %s: %s", e.Engine, e.Reason)
}

func (f *flow) completionRequest(stream bool) completer.Request {
	body := f.request.Body
	body.RequestID = f.id
	body.Attempt = f.attempt
	body.Priority = f.request.Model.Priority
	body.Stream = stream
	return body
}

func (g *Generator) post(ctx context.Context, e watcher.Endpoint, body completer.Request) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	r, err := dialer.Request(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", e.Address), bytes.NewReader(data), int64(len(data)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, sent, err := g.http.Do(r)
	if err != nil && !sent {
		return nil, &UnreachableError{Engine: e.Name, Reason: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			g.options.Endpoints.MarkLeaving(e.Name)
		}
		return nil, &EngineError{Engine: e.Name, Reason: resp.Status}
	}
	return resp, nil
}

// isDead reports whether e refuses or closes a connection. A time-out does not count, as the engine may be suspended. A
// connection alone proves nothing: a process that is exiting may still accept one before it closes it.
func (g *Generator) isDead(e watcher.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	r, err := dialer.Request(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/load", e.Address), nil, 0)
	if err != nil {
		return false
	}
	resp, _, err := g.http.Do(r)
	if err != nil {
		return ctx.Err() == nil
	}
	_ = resp.Body.Close()
	return false
}

func (f *flow) runPrefill(ctx context.Context, e watcher.Endpoint) error {
	g := f.generator
	f.tries++
	f.attempt++
	f.prefill = e
	f.prefillAttempt = f.attempt
	f.transfer = nil
	if g.options.Isolator.IsSuspect(f.fingerprint) {
		end, err := g.acquireExclusive(ctx, e.Name)
		if err != nil {
			return err
		}
		defer end()
	}
	end := g.options.Endpoints.Begin(e.Name, f.request.Tokens)
	defer end()
	body := f.completionRequest(false)
	body.MaxTokens = 1
	body.Transfer = &completer.Transfer{RemoteDecode: true}
	answer, err := g.prefill(ctx, e, body)
	if err != nil {
		return f.recordFailure(ctx, e, err)
	}
	g.recordPrefix(e.Name, f.prefix(), max(answer.Usage.CachedTokens, min(f.request.Tokens, prefixWords)))
	f.prefillEnd = f.now()
	g.options.Endpoints.Report(e.Name, answer.Load)
	lease := time.Duration(answer.Transfer.HoldMillis)*time.Millisecond - holdMargin
	f.transfer = &answer.Transfer
	f.transferEnd = f.now().Add(lease)
	return nil
}

func (g *Generator) prefill(ctx context.Context, e watcher.Endpoint, body completer.Request) (completer.PrefillAnswer, error) {
	var answer completer.PrefillAnswer
	resp, err := g.post(ctx, e, body)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&answer)
	if err != nil {
		return answer, errorx.Decorate(err, "generator: unable to decode the prefill answer of engine %s", e.Name)
	}
	return answer, nil
}

// runDecode streams tokens from e, resuming at the first token that was not emitted yet.
func (f *flow) runDecode(ctx context.Context, e watcher.Endpoint) error {
	g := f.generator
	f.attempt++
	end := g.options.Endpoints.Begin(e.Name, 0)
	defer end()
	body := f.completionRequest(true)
	body.Resume = f.position
	body.Transfer = f.transfer
	resp, err := g.post(ctx, e, body)
	if err == nil {
		err = f.stream(e, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		return nil
	}
	f.tries++
	return f.recordFailure(ctx, e, err)
}

// stream emits tokens until the end of the answer. The answer is complete only if a token with a finish reason precedes
// the done marker.
func (f *flow) stream(e watcher.Endpoint, body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), eventPrefix)
		if !ok {
			continue
		}
		if data == doneMarker {
			return f.checkComplete(e)
		}
		if err := f.handleChunk(e, data); err != nil {
			return err
		}
	}
	return &EngineError{Engine: e.Name, Reason: "the stream was interrupted at token " + fmt.Sprint(f.position)}
}

func (f *flow) checkComplete(e watcher.Endpoint) error {
	if !f.ended {
		return &EngineError{Engine: e.Name, Reason: "the stream ended without a finish reason at token " + fmt.Sprint(f.position)}
	}
	return nil
}

// handleChunk emits one chunk. It skips chunks of other attempts and tokens already emitted; a gap fails the attempt.
func (f *flow) handleChunk(e watcher.Endpoint, data string) error {
	var chunk completer.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errorx.Decorate(err, "generator: unable to decode a chunk from engine %s", e.Name)
	}
	if chunk.Attempt != f.attempt || chunk.Position < f.position || len(chunk.Choices) == 0 {
		return nil
	}
	if chunk.Position > f.position {
		return &EngineError{Engine: e.Name, Reason: fmt.Sprintf("received token %d, expected token %d", chunk.Position, f.position)}
	}
	if err := f.emit(chunk.Choices[0].Delta.Content); err != nil {
		return err
	}
	f.recordLatencies()
	f.position++
	f.ended = chunk.Choices[0].FinishReason != ""
	return nil
}

// recordLatencies updates the handover time at the first token after a prefill, and the time per token after
// stepSampleTokens tokens.
func (f *flow) recordLatencies() {
	now := f.now()
	if !f.prefillEnd.IsZero() {
		f.generator.recordHandover(now.Sub(f.prefillEnd))
		f.prefillEnd = time.Time{}
		f.firstTokenAt, f.firstPosition = now, f.position
	}
	if f.position-f.firstPosition == stepSampleTokens {
		f.generator.recordStep(now.Sub(f.firstTokenAt) / stepSampleTokens)
	}
}
