package loadgenerator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// Caller sends the requests of one organisation to random hosts. It gets their addresses from the hosts.
type Caller struct {
	Token   string
	Model   string
	Service string
	// OncePath is the path of at-most-once calls, LookupPath that of lookups.
	OncePath        string
	LookupPath      string
	http            *http.Client
	mu              sync.Mutex
	addresses       []netip.AddrPort
	addressesExpire time.Time
	seeds           []netip.AddrPort
}

// NewCaller returns a caller that starts with the seeds as its only addresses.
func NewCaller(seeds []netip.AddrPort, token, model, service string) *Caller {
	return &Caller{
		Token: token, Model: model, Service: service, OncePath: "/tickets", LookupPath: "/lookups",
		seeds: seeds,
		http:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
	}
}

// pickAddress returns a random host address. It refreshes the addresses when their lifetime has ended.
func (c *Caller) pickAddress(ctx context.Context) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.addressesExpire) {
		c.refreshAddresses(ctx)
	}
	if len(c.addresses) == 0 {
		return c.seeds[rand.IntN(len(c.seeds))]
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// refreshAddresses tries the known hosts in random order until one of them returns addresses.
func (c *Caller) refreshAddresses(ctx context.Context) {
	known := append(append([]netip.AddrPort{}, c.seeds...), c.addresses...)
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, a := range known {
		list, lifetime, err := c.fetchAddresses(ctx, a)
		if err == nil && len(list) > 0 {
			c.addresses = list
			c.addressesExpire = time.Now().Add(lifetime)
			return
		}
	}
}

func (c *Caller) fetchAddresses(ctx context.Context, a netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/addresses", a), nil)
	if err != nil {
		return nil, 0, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []netip.AddrPort `json:"addresses"`
		Lifetime  int64            `json:"lifetime_ms"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, time.Duration(answer.Lifetime) * time.Millisecond, err
}

// Reply is the outcome of a request as the caller sees it. Text is the text of a generated answer, IsComplete whether the
// answer was received to its end.
type Reply struct {
	Status  int
	Code    string
	Outcome string
	// IsRepeated is set if the answer is the stored one of another attempt.
	IsRepeated bool
	Text       string
	IsComplete bool
	Body       []byte
	Start      time.Duration
	Finish     time.Duration
	Err        error
}

// Complete requests a generated answer from the host at the given address, or from a random host if it is not valid. With
// cancel set the caller disconnects after the first token.
func (c *Caller) Complete(ctx context.Context, at netip.AddrPort, id, prompt string, output int, cancel bool) Reply {
	body, _ := json.Marshal(completer.Request{
		Model: c.Model, MaxTokens: output, Stream: true,
		Messages: []completer.Message{{Role: "user", Content: strings.TrimSuffix(prompt, "\n")}},
	})
	ctx, disconnect := context.WithCancel(ctx)
	defer disconnect()
	begin := time.Now()
	resp, err := c.send(ctx, at, http.MethodPost, "/v1/chat/completions", map[string]string{"X-Request-Id": id}, body)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readFailure(resp, begin)
	}
	return readStream(resp, begin, cancel)
}

func (c *Caller) send(ctx context.Context, at netip.AddrPort, method, path string, header map[string]string, body []byte) (*http.Response, error) {
	if !at.IsValid() {
		at = c.pickAddress(ctx)
	}
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", at, path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	for name, value := range header {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	r.GetBody = nil
	return c.http.Do(r)
}

func readFailure(resp *http.Response, begin time.Time) Reply {
	data, err := io.ReadAll(resp.Body)
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	return Reply{
		Status: resp.StatusCode, Code: body.Error.Code, Outcome: body.Error.Outcome, Body: data, Finish: time.Since(begin), Err: err,
	}
}

func readStream(resp *http.Response, begin time.Time, cancel bool) Reply {
	reply := Reply{Status: resp.StatusCode}
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "event: error") {
			reply.Code = "stream_failed"
			break
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			reply.IsComplete = true
			break
		}
		var chunk completer.Chunk
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			if reply.Start == 0 {
				reply.Start = time.Since(begin)
			}
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		if cancel {
			break
		}
	}
	reply.Text = text.String()
	reply.Finish = time.Since(begin)
	return reply
}

// Call sends a request to the service through the host at the given address, or a random host if it is not valid.
func (c *Caller) Call(ctx context.Context, at netip.AddrPort, method, path, key string, body []byte) Reply {
	begin := time.Now()
	resp, err := c.send(ctx, at, method, "/v1/services/"+c.Service+path, map[string]string{"Idempotency-Key": key}, body)
	if err != nil {
		return Reply{Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		r := readFailure(resp, begin)
		if r.Outcome == "" {
			r.Outcome = resp.Header.Get("X-Outcome")
		}
		return r
	}
	data, err := io.ReadAll(resp.Body)
	return Reply{
		Status: resp.StatusCode, Outcome: resp.Header.Get("X-Outcome"), Body: data, Err: err,
		IsRepeated: resp.Header.Get("X-Repeated") != "",
		IsComplete: err == nil, Start: time.Since(begin), Finish: time.Since(begin),
	}
}
