package loadgenerator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hornbeamspan/hornbeamspan/lab/modelserver"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
)

const (
	// maxLatencyMicros is the largest latency that histograms record.
	maxLatencyMicros = int64(10 * time.Minute / time.Microsecond)
	// significantDigits is the precision of histograms.
	significantDigits = 3
	// requestTimeout bounds a request, from the choice of a host to the end of the answer.
	requestTimeout = 60 * time.Second
	// progressInterval is the time between lines of progress.
	progressInterval = 2 * time.Second
)

// Targets are the latencies within which an answer counts towards goodput. Start and Finish apply to summaries, Lookup
// applies to the finish of lookups and at-most-once calls.
type Targets struct {
	Start  time.Duration
	Finish time.Duration
	Lookup time.Duration
}

// ClassCounts counts the outcomes of the requests of one class. Served answers met all targets of the class, Late ones
// were complete but missed one. Wrong ones had another text than expected.
type ClassCounts struct {
	Sent      int `json:"sent"`
	Served    int `json:"served"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Wrong     int `json:"wrong"`
	Cancelled int `json:"left"`
	// Codes counts answers by error code.
	Codes     map[string]int `json:"codes"`
	Goodput   float64        `json:"goodput"`
	StartP50  float64        `json:"start_p50_ms"`
	StartP95  float64        `json:"start_p95_ms"`
	StartP99  float64        `json:"start_p99_ms"`
	FinishP50 float64        `json:"finish_p50_ms"`
	FinishP95 float64        `json:"finish_p95_ms"`
	FinishP99 float64        `json:"finish_p99_ms"`
	start     *hdrhistogram.Histogram
	finish    *hdrhistogram.Histogram
}

// Result has the counts of a workload. Prefilled, Cached and Wasted count prompt tokens on all engines; WastedShare is the
// share of prefilled tokens that no decode used.
type Result struct {
	Classes     map[Class]*ClassCounts `json:"classes"`
	Prefilled   int                    `json:"prefilled"`
	Cached      int                    `json:"cached"`
	Wasted      int                    `json:"wasted"`
	WastedShare float64                `json:"wasted_share"`
}

// Run sends the requests of a workload at their arrival times, whether earlier ones have ended or not (open loop). It writes
// progress to w and returns the counts once every request has ended. Token counts stay 0 without hosts.
func Run(ctx context.Context, c *Caller, wl Workload, t Targets, hosts *hostlistclient.Client, w io.Writer) Result {
	result := Result{Classes: make(map[Class]*ClassCounts)}
	for _, class := range Classes {
		result.Classes[class] = &ClassCounts{Codes: make(map[string]int), start: hdrhistogram.New(1, maxLatencyMicros, significantDigits), finish: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
	}
	before := engineCounts(ctx, hosts)
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := reportProgress(w, &mu, result)
	begin := time.Now()
	for _, a := range Trace(wl) {
		select {
		case <-time.After(time.Until(begin.Add(a.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			reply := send(ctx, c, wl, a)
			mu.Lock()
			defer mu.Unlock()
			result.Classes[a.Class].add(a, reply, t)
		})
	}
	wg.Wait()
	stop()
	for _, count := range result.Classes {
		count.computeResults()
	}
	result.addEngineCounts(before, engineCounts(ctx, hosts))
	return result
}

func send(ctx context.Context, c *Caller, wl Workload, a Arrival) Reply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	switch a.Class {
	case Summary:
		return c.Complete(ctx, netip.AddrPort{}, "", a.Prompt, a.OutputTokens, a.IsCancelled)
	case Lookup:
		return c.Call(ctx, netip.AddrPort{}, http.MethodGet, fmt.Sprintf("%s/%d", c.LookupPath, a.Number), "", nil)
	}
	key := fmt.Sprintf("load-%d-%d", wl.Seed, a.Number)
	return c.Call(ctx, netip.AddrPort{}, http.MethodPost, c.OncePath, key, []byte(key))
}

func (c *ClassCounts) add(a Arrival, r Reply, t Targets) {
	if a.IsCrash {
		return
	}
	c.Sent++
	if a.IsCancelled {
		c.Cancelled++
		return
	}
	if r.Code != "" {
		c.Codes[r.Code]++
	}
	switch {
	case r.Err != nil || r.Code == "stream_failed":
		c.Failed++
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		c.Refused++
	case r.Status != http.StatusOK || !r.IsComplete:
		c.Failed++
	case a.Class == Summary && r.Text != modelserver.Answer(a.Prompt+"\n", a.OutputTokens):
		c.Wrong++
	default:
		c.addComplete(a, r, t)
	}
}

func (c *ClassCounts) addComplete(a Arrival, r Reply, t Targets) {
	_ = c.start.RecordValue(max(1, r.Start.Microseconds()))
	_ = c.finish.RecordValue(max(1, r.Finish.Microseconds()))
	onTime := r.Finish <= t.Lookup
	if a.Class == Summary {
		onTime = r.Start <= t.Start && r.Finish <= t.Finish
	}
	if onTime {
		c.Served++
		return
	}
	c.Late++
}

func (c *ClassCounts) computeResults() {
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	c.StartP50, c.StartP95, c.StartP99 = quantile(c.start, 50), quantile(c.start, 95), quantile(c.start, 99)
	c.FinishP50, c.FinishP95, c.FinishP99 = quantile(c.finish, 50), quantile(c.finish, 95), quantile(c.finish, 99)
	if notCancelled := c.Sent - c.Cancelled; notCancelled > 0 {
		c.Goodput = float64(c.Served) / float64(notCancelled)
	}
}

func reportProgress(w io.Writer, mu *sync.Mutex, r Result) (stop func()) {
	done := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				mu.Lock()
				for _, class := range Classes {
					cc := r.Classes[class]
					fmt.Fprintf(w, "%s %d/%d  ", class, cc.Served, cc.Sent)
				}
				mu.Unlock()
				fmt.Fprintln(w)
			}
		}
	}()
	return func() {
		close(done)
		<-finished
	}
}

// engineCounts returns the token counts of every engine that answers, by incarnation. Without a host list it returns
// none.
func engineCounts(ctx context.Context, hosts *hostlistclient.Client) map[string]modelserver.Counts {
	counts := make(map[string]modelserver.Counts)
	if hosts == nil {
		return counts
	}
	listing, err := hosts.Get(ctx)
	if err != nil {
		return counts
	}
	for _, e := range listing.Endpoints {
		if s, err := EngineState(ctx, e.Address); err == nil && s.Load.Incarnation != "" {
			counts[s.Load.Incarnation] = s.Counts
		}
	}
	return counts
}

// EngineState returns the state of an engine: its load and token counts among others.
func EngineState(ctx context.Context, a netip.AddrPort) (modelserver.State, error) {
	var s modelserver.State
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/state", a), nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&s)
	return s, err
}

func (r *Result) addEngineCounts(before, after map[string]modelserver.Counts) {
	for incarnation, c := range after {
		old := before[incarnation]
		r.Prefilled += c.Prefilled - old.Prefilled
		r.Cached += c.Cached - old.Cached
		r.Wasted += c.Wasted - old.Wasted
	}
	if r.Prefilled > 0 {
		r.WastedShare = float64(r.Wasted) / float64(r.Prefilled)
	}
}

// Write prints r to w as a table with a line for each class.
func (r Result) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tsent\tserved\tlate\trefused\tfailed\twrong\tleft\tgoodput\tstart p50\tp95\tp99\tfinish p50\tp95\tp99 ms\t")
	for _, class := range Classes {
		cc := r.Classes[class]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", class, cc.Sent, cc.Served, cc.Late, cc.Refused,
			cc.Failed, cc.Wrong, cc.Cancelled, cc.Goodput, cc.StartP50, cc.StartP95, cc.StartP99, cc.FinishP50, cc.FinishP95, cc.FinishP99)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "prompt tokens computed %d, cached %d, wasted %d (%.2f%%)\n", r.Prefilled, r.Cached, r.Wasted, 100*r.WastedShare)
}
