package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Resolve asks a host for the addresses to use.
func Resolve(h *Host) ([]string, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Directory+"/api/resolve?name=shop.example&region=west&zone="+h.Zone, nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var doc struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if json.NewDecoder(resp.Body).Decode(&doc) != nil {
		return nil, 0
	}
	return doc.Addresses, time.Duration(doc.TTLS * float64(time.Second))
}

// Directory is a client's cached answer of the directory.
type Directory struct {
	hosts []*Host
	// keep is the number of lifetimes for which the client keeps an answer: 1, or 3 for some.
	keep    int
	list    []string
	fetched time.Time
	ttl     time.Duration
}

// Pick returns an address at random, from an answer that is fetched anew when it is too old.
func (d *Directory) Pick() string {
	if len(d.list) == 0 || time.Since(d.fetched) > time.Duration(d.keep)*d.ttl {
		for _, h := range d.hosts {
			if list, ttl := Resolve(h); len(list) > 0 {
				d.list, d.ttl, d.fetched = list, ttl, time.Now()
				break
			}
		}
	}
	if len(d.list) == 0 {
		return ""
	}
	return d.list[rand.IntN(len(d.list))]
}

// Outcome is what a client saw of one request.
type Outcome struct {
	ID, Host string
	Sent     time.Time
	Ended    time.Time
	Status   int
	Body     string
	Seal     string
	// Err is set if there was no complete answer.
	Err string
}

// Send sends one request on a connection of its own and reads the whole answer.
func Send(host, method, path, id, body string, deadline time.Duration, extra map[string]string) Outcome {
	o := Outcome{ID: id, Host: host, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, content)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range extra {
		r.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err != nil {
		o.Ended, o.Err = time.Now(), err.Error()
		return o
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	o.Ended, o.Status, o.Body, o.Seal = time.Now(), resp.StatusCode, string(data), resp.Header.Get("Response-Seal")
	if err != nil {
		o.Err = err.Error()
	}
	return o
}

// Record writes lines with times relative to the start to record.txt.
type Record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

// Printf writes one line.
func (r *Record) Printf(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}
