package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/executor"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/superseder"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/generator"
)

const (
	// maxOutputTokens is the largest max_tokens that a caller may set.
	maxOutputTokens = 32768
	// defaultOutputTokens applies if the caller sends no max_tokens.
	defaultOutputTokens = 256
	// timeoutFactor is the time-out of a request as a multiple of its finish target.
	timeoutFactor = 3
)

// Completion is the answer to a completion request without streaming.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   completer.Usage    `json:"usage"`
}

// CompletionChoice is the only choice of a Completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      completer.Message `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// fieldError reports an invalid field of a request body.
type fieldError struct {
	field  string
	reason string
	status int
}

func (e *fieldError) Error() string { return e.field + ": " + e.reason }

func (rs *Responder) complete(w http.ResponseWriter, r *http.Request, c caller) {
	req, err := parseCompletion(w, r, c)
	var bad *fieldError
	if errors.As(err, &bad) {
		writeFailure(w, bad.status, badRequest(bad.field, bad.reason))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutFactor*req.Model.Finish)
	defer cancel()
	if c.hasOwnID {
		attempt, end := rs.options.Superseder.Begin(ctx, superseder.Key{Organisation: c.organisation.Name, Request: c.requestID})
		defer end()
		ctx = attempt
	}
	begin := rs.options.Clock.Now()
	out := rs.newOutput(w, c.requestID, req)
	err = rs.options.Generator.Generate(ctx, req, out.token)
	rs.recordMetrics(req, begin, out, err)
	out.finish(err)
}

// recordMetrics counts an answer and whether it met both latency targets.
func (rs *Responder) recordMetrics(req generator.Request, begin time.Time, out *output, err error) {
	scope := rs.options.Scope.Tagged(map[string]string{"model": req.Model.Name})
	scope.Counter("summaries").Inc(1)
	if err != nil {
		scope.Counter("summaries_failed").Inc(1)
		return
	}
	total := rs.options.Clock.Since(begin)
	scope.Timer("finish").Record(total)
	if out.first.Sub(begin) <= req.Model.Start && total <= req.Model.Finish {
		scope.Counter("summaries_in_time").Inc(1)
	}
}

func parseCompletion(w http.ResponseWriter, r *http.Request, c caller) (generator.Request, error) {
	var body completer.Request
	if err := readJSON(w, r, &body); err != nil {
		return generator.Request{}, err
	}
	model, ok := c.rules.Models[body.Model]
	if !ok {
		return generator.Request{}, &fieldError{"model", fmt.Sprintf("no model %q in the rules", body.Model), http.StatusBadRequest}
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultOutputTokens
	}
	if body.MaxTokens < 0 || body.MaxTokens > maxOutputTokens {
		return generator.Request{}, &fieldError{"max_tokens", fmt.Sprintf("must be from 1 to %d", maxOutputTokens), http.StatusBadRequest}
	}
	prompt := completer.Prompt(body.Messages)
	tokens := completer.Tokens(prompt)
	if tokens == 0 {
		return generator.Request{}, &fieldError{"messages", "must contain text", http.StatusBadRequest}
	}
	return generator.Request{Model: model, Body: body, Prompt: prompt, Tokens: tokens}, nil
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &fieldError{"body", fmt.Sprintf("longer than %d bytes", maxBodyBytes), http.StatusRequestEntityTooLarge}
	}
	if err != nil {
		return &fieldError{"body", "unable to read: " + err.Error(), http.StatusBadRequest}
	}
	err = json.NewDecoder(bytes.NewReader(data)).Decode(v)
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return &fieldError{kind.Field, fmt.Sprintf("must be %s, not %s, at byte %d", kind.Type, kind.Value, kind.Offset), http.StatusBadRequest}
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &fieldError{"body", fmt.Sprintf("not JSON at byte %d: %s", syntax.Offset, syntax), http.StatusBadRequest}
	}
	if err != nil {
		return &fieldError{"body", "not JSON: " + err.Error(), http.StatusBadRequest}
	}
	return nil
}

// output writes an answer, token by token if the caller asked for a stream. Nothing is written before the first token, so
// that a failure until then still gets its own status.
type output struct {
	clock   clockwork.Clock
	w       http.ResponseWriter
	id      string
	request generator.Request
	stream  bool
	tokens  int
	text    strings.Builder
	first   time.Time
}

func (rs *Responder) newOutput(w http.ResponseWriter, id string, req generator.Request) *output {
	return &output{w: w, clock: rs.options.Clock, id: id, request: req, stream: req.Body.Stream}
}

func (o *output) token(content string) error {
	if o.tokens == 0 {
		o.first = o.clock.Now()
	}
	o.tokens++
	if !o.stream {
		o.text.WriteString(content)
		return nil
	}
	if o.tokens == 1 {
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	return o.event("", completer.Chunk{
		ID: o.id, Position: o.tokens - 1,
		Choices: []completer.Choice{{Delta: completer.Delta{Content: content}}},
	})
}

func (o *output) event(name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(o.w, "%sdata: %s\n\n", name, data); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

// finish ends the answer. A failed stream gets an error event, no end marker and an aborted connection, so that callers
// cannot take it for complete.
func (o *output) finish(err error) {
	if err != nil {
		o.finishFailed(err)
		return
	}
	if o.stream {
		_ = o.event("", completer.Chunk{ID: o.id, Position: o.tokens, Choices: []completer.Choice{{FinishReason: "stop"}}})
		_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
		return
	}
	httpx.OkJson(o.w, Completion{
		ID: o.id, Object: "chat.completion", Model: o.request.Model.Name,
		Choices: []CompletionChoice{{Message: completer.Message{Role: "assistant", Content: o.text.String()}, FinishReason: "stop"}},
		Usage:   completer.Usage{PromptTokens: o.request.Tokens},
	})
}

func (o *output) finishFailed(err error) {
	status, f := failureOf(err)
	if !o.stream || o.tokens == 0 {
		writeFailure(o.w, status, f)
		return
	}
	f.RequestID = o.id
	_ = o.event("error", FailureBody{Error: f})
	panic(http.ErrAbortHandler)
}

func failureOf(err error) (int, Failure) {
	var refused *generator.RefusedError
	if errors.As(err, &refused) {
		f := notRun(refused.Code, refused.Reason)
		if refused.Executed {
			f.Outcome = executor.OutcomeUnknown
		}
		if refused.RetryAfter > 0 {
			f = f.withRetryAfter(refused.RetryAfter)
		}
		return refused.Status, f
	}
	var failed *generator.FailedError
	if errors.As(err, &failed) {
		f := Failure{Code: "engines_failed", Message: failed.Error(), Outcome: executor.OutcomeUnknown}
		return http.StatusBadGateway, f.withRetryAfter(time.Second)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return http.StatusGatewayTimeout, Failure{Code: "deadline", Message: "request timed out after its latency target", Outcome: executor.OutcomeUnknown}.withRetryAfter(time.Second)
	}
	return http.StatusConflict, Failure{Code: "superseded", Message: "superseded by a newer attempt with the same request ID", Outcome: executor.OutcomeUnknown}
}
