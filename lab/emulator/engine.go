package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// SetOrderDelay delays all later orders. They are executed even if their sender has given up.
func (e *Endpoint) SetOrderDelay(delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderDelay = delay
}

func (e *Endpoint) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderDelay
}

func (e *Endpoint) takeHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Tokens int   `json:"tokens"`
		TTLMs  int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used()+body.Tokens > e.cfg.MemoryTokens || len(e.active)+len(e.holds) >= e.cfg.Slots {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := e.nextID("hold")
	e.holds[id] = body.Tokens
	time.AfterFunc(time.Duration(body.TTLMs)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.holds, id)
	})
	fmt.Fprintf(w, `{"hold":%q}`, id)
}

func (e *Endpoint) dropHold(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.holds, r.PathValue("id"))
}

func (e *Endpoint) dropHandle(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.handles, r.PathValue("id"))
}

func (e *Endpoint) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := [][]any{}
	for id, tokens := range e.active {
		runs = append(runs, []any{id, tokens, 0, 5})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": e.stage, "busy": e.switching, "sequence": e.orderCount, "queued": 0, "running": len(e.active), "kvUsed": e.used(),
		"kvTotal": e.cfg.MemoryTokens, "kvHandles": len(e.handles), "runs": runs,
	})
}

func (e *Endpoint) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		OpType string `json:"opType"`
		Stage  string `json:"stage"`
		Holder string `json:"holder"`
		Fence  uint64 `json:"fence"`
		Expect *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.OpType != "stage" || o.Holder == "" {
		http.Error(w, "unable to read the order: opType stage and a holder are expected", http.StatusBadRequest)
		return
	}
	time.Sleep(e.delay())
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case o.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case e.switching || (o.Expect != nil && *o.Expect != e.orderCount):
		w.WriteHeader(http.StatusConflict)
	default:
		e.fence = o.Fence
		e.orderCount++
		e.switching = true
		e.acceptedOrders = append(e.acceptedOrders, fmt.Sprintf("%s %s %d", o.Stage, o.Holder, o.Fence))
		time.AfterFunc(e.cfg.StageSwitchTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.switching = false
			e.stage = o.Stage
			e.announce()
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Endpoint) prefill(w http.ResponseWriter, r *http.Request, stage string) {
	if stage != "prefill" {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	e.mu.Lock()
	handle := e.nextID("handle")
	e.handles[handle] = id
	e.mu.Unlock()
	w.Header().Set("Request-Id", id)
	fmt.Fprintf(w, `{"kvHandle":%q,"tokens":1,"version":1}`, handle)
}

// endpointsByAddress finds the source engine of a KV cache transfer.
var endpointsByAddress sync.Map

// transferHandle takes over the KV cache of request id from the prefill engine in source, ADDRESS/HANDLE.
func (e *Endpoint) transferHandle(source, id string) {
	addr, handle, ok := strings.Cut(source, "/")
	if !ok {
		return
	}
	loaded, ok := endpointsByAddress.Load(addr)
	if !ok {
		return
	}
	from := loaded.(*Endpoint)
	from.mu.Lock()
	defer from.mu.Unlock()
	if from.handles[handle] == id {
		delete(from.handles, handle)
	}
}

// Events returns the body of a complete stream of n events.
func Events(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // an absent header means a new stream
	control := http.NewResponseController(w)
	for i := last + 1; i <= e.cfg.Events; i++ {
		if fault == Truncate && i == last+cutEvents+1 {
			_, _ = io.WriteString(w, "id: 99\ndata: half an ev")
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event(i)); err != nil {
			return
		}
		_ = control.Flush()
		interval := e.cfg.EventInterval
		if fault == Slow && i <= last+slowEvents {
			interval = slowInterval
		}
		select {
		case <-time.After(interval):
		case <-r.Context().Done():
			return
		}
	}
}
