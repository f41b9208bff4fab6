package modelserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

func (e *Engine) serveDecode(ctx context.Context, w http.ResponseWriter, key attemptKey, req completer.Request, prompt string) {
	if err := e.reserve(key, completer.Tokens(prompt)+req.MaxTokens); err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	if err := e.fetchKV(ctx, req.Transfer); err != nil {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	if err := e.decodeSlots.acquire(ctx, req.Priority); err != nil {
		http.Error(w, errCancelled.Error(), http.StatusConflict)
		return
	}
	defer e.decodeSlots.release()
	e.stream(ctx, w, key, req, prompt)
}

// fetchKV transfers the KV cache from the prefill engine. The request fails if it has expired there.
func (e *Engine) fetchKV(ctx context.Context, t *completer.Transfer) error {
	if t == nil || t.RemoteHandle == "" {
		return errExpired
	}
	target := fmt.Sprintf("http://%s/v1/kv?handle=%s", t.RemoteAddress, url.QueryEscape(t.RemoteHandle))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errExpired
	}
	return nil
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, key attemptKey, req completer.Request, prompt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	text := TextOf(prompt)
	for i := req.Resume; i < req.MaxTokens; i++ {
		select {
		case <-e.nextStep():
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if !writeChunk(w, e.chunk(key, req, text, i)) || flusher.Flush() != nil {
			panic(http.ErrAbortHandler)
		}
		e.updateCounts(func(c *Counts) { c.Decoded++ })
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	e.updateCounts(func(c *Counts) { c.Completed++ })
}

func (e *Engine) chunk(key attemptKey, req completer.Request, text Text, i int) completer.Chunk {
	choice := completer.Choice{Delta: completer.Delta{Content: text.Token(i)}}
	if i == req.MaxTokens-1 {
		choice.FinishReason = "stop"
	}
	return completer.Chunk{ID: req.RequestID, Attempt: key.attempt, Position: i, Choices: []completer.Choice{choice}}
}

func writeChunk(w http.ResponseWriter, c completer.Chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err == nil
}
