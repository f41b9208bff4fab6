package inferrer

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// result is the KV cache of a finished prefill, kept until it is exported, released or expired.
type prefillResult struct {
	key     attemptKey
	tokens  int
	blocks  int
	timer   *time.Timer
	fetched bool
}

func (e *Engine) servePrefill(ctx context.Context, w http.ResponseWriter, key attemptKey, req completer.Request, prompt string) {
	tokens := completer.Tokens(prompt)
	if err := e.reserve(key, tokens); err != nil {
		http.Error(w, err.Error(), http.StatusInsufficientStorage)
		return
	}
	cached, err := e.computePrefill(ctx, req.Priority, prompt, tokens)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	handle := e.storeResult(key, tokens)
	e.mu.Lock()
	load := e.load
	e.mu.Unlock()
	httpx.OkJson(w, completer.PrefillAnswer{
		ID:    req.RequestID,
		Usage: completer.Usage{PromptTokens: tokens, CachedTokens: cached},
		Load:  load,
		Transfer: completer.Transfer{
			RemotePrefill: true, RemoteEngine: e.options.Name, RemoteHandle: handle,
			RemoteAddress: e.options.Address, HoldMillis: e.options.ResultRetention.Milliseconds(),
		},
	})
}

// compute waits for the engine's turn and reads the part of the prompt that is not cached.
func (e *Engine) computePrefill(ctx context.Context, priority int, prompt string, tokens int) (cached int, err error) {
	names := prefixKeys(prompt)
	e.addBacklog(tokens)
	defer e.addBacklog(-tokens)
	if err := e.prefillQueue.acquire(ctx, priority); err != nil {
		return 0, errCancelled
	}
	defer e.prefillQueue.release()
	cached = e.cache.match(names)
	begin := time.Now()
	need := time.Duration(float64(tokens-cached) / e.options.Rate * float64(time.Second))
	select {
	case <-time.After(need):
	case <-ctx.Done():
		done := min(tokens-cached, int(time.Since(begin).Seconds()*e.options.Rate))
		e.updateCounts(func(c *Counts) { c.Prefilled += done; c.Wasted += done })
		return 0, errCancelled
	}
	e.cache.add(names)
	e.updateCounts(func(c *Counts) { c.Prefilled += tokens - cached; c.Cached += cached })
	return cached, nil
}

func (e *Engine) addBacklog(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backlog += tokens
}

func (e *Engine) updateCounts(change func(*Counts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

// hold moves the flight's memory to a result that expires by itself.
func (e *Engine) storeResult(key attemptKey, tokens int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := key.id + "#" + strconv.FormatUint(key.attempt, 10)
	f := e.inFlight[key]
	r := &prefillResult{key: key, tokens: tokens, blocks: f.blocks}
	f.blocks = 0
	r.timer = time.AfterFunc(e.options.ResultRetention, func() { e.expire(handle, r) })
	e.results[handle] = r
	return handle
}

func (e *Engine) expire(handle string, r *prefillResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.results[handle] == r {
		e.discard(handle)
	}
}

// drop gives up a result. The caller holds mu.
func (e *Engine) discard(handle string) {
	r := e.results[handle]
	r.timer.Stop()
	delete(e.results, handle)
	if !r.fetched {
		e.counts.Wasted += r.tokens
	}
}

// export sends the KV cache of a prefill over the engine's link. The result stays until it expires or is released, so
// that another decode engine may fetch it again.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e.mu.Lock()
	held, ok := e.results[handle]
	e.mu.Unlock()
	if !ok {
		http.Error(w, errExpired.Error(), http.StatusGone)
		return
	}
	e.exportLink.Lock()
	defer e.exportLink.Unlock()
	select {
	case <-time.After(time.Duration(float64(held.tokens) / e.options.LinkRate * float64(time.Second))):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	held.fetched = true
	e.mu.Unlock()
	httpx.OkJson(w, completer.Usage{PromptTokens: held.tokens})
}
