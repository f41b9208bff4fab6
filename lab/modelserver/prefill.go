package modelserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/httpx"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// prefillResult is the KV cache of a finished prefill, held until it is released or expires.
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

// computePrefill waits for its turn in the queue, then takes the time to compute the uncached part of the prompt.
func (e *Engine) computePrefill(ctx context.Context, priority int, prompt string, tokens int) (cached int, err error) {
	keys := prefixKeys(prompt)
	e.addBacklog(tokens)
	defer e.addBacklog(-tokens)
	if err := e.prefillQueue.acquire(ctx, priority); err != nil {
		return 0, errCancelled
	}
	defer e.prefillQueue.release()
	cached = e.cache.match(keys)
	begin := time.Now()
	duration := time.Duration(float64(tokens-cached) / e.options.Rate * float64(time.Second))
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		done := min(tokens-cached, int(time.Since(begin).Seconds()*e.options.Rate))
		e.updateCounts(func(c *Counts) { c.Prefilled += done; c.Wasted += done })
		return 0, errCancelled
	}
	e.cache.add(keys)
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

// storeResult moves the blocks of an in-flight request to a result, which expires after ResultRetention.
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

// discard removes a result and counts its tokens as wasted if it was never fetched. The caller must hold mu.
func (e *Engine) discard(handle string) {
	r := e.results[handle]
	r.timer.Stop()
	delete(e.results, handle)
	if !r.fetched {
		e.counts.Wasted += r.tokens
	}
}

// exportKV simulates the transfer of a KV cache over the link, one at a time. The result is kept until it expires or is
// released, so that another decode engine can fetch it again.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	handle := r.URL.Query().Get("handle")
	e.mu.Lock()
	result, ok := e.results[handle]
	e.mu.Unlock()
	if !ok {
		http.Error(w, errExpired.Error(), http.StatusGone)
		return
	}
	e.exportLink.Lock()
	defer e.exportLink.Unlock()
	select {
	case <-time.After(time.Duration(float64(result.tokens) / e.options.LinkRate * float64(time.Second))):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	result.fetched = true
	e.mu.Unlock()
	httpx.OkJson(w, completer.Usage{PromptTokens: result.tokens})
}
