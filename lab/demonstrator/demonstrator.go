// Package demonstrator runs a summary, an at-most-once call, a lookup and a rule change on a launched system, and checks
// each answer.
package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
	"github.com/hornbeamspan/hornbeamspan/lab/modelserver"
	"github.com/hornbeamspan/hornbeamspan/lab/plainserver"
	"github.com/hornbeamspan/hornbeamspan/transport/callers/administrator"
)

const (
	// documentWords is the length of the document to summarise.
	documentWords = 3000
	// summaryTokens is the length of the requested summary.
	summaryTokens = 60
	// printedWords is the number of words of the summary that are printed.
	printedWords = 8
	hostCount    = 3
)

// CheckError reports an unexpected answer in a step of the demonstration.
type CheckError struct {
	Step   string
	Reason string
}

func (e *CheckError) Error() string {
	return fmt.Sprintf("demonstrator: unable to verify %s: %s", e.Step, e.Reason)
}

// Spec returns the system of the demonstration, with programs in bin and logs in dir.
func Spec(bin, dir string) launcher.Spec {
	return launcher.Spec{Bin: bin, Dir: dir, Hosts: hostCount, DataCentres: 2, Prefill: 2, Decode: 2, Services: 1}
}

// Run starts the system, runs each step, prints its result to w and stops all processes.
func Run(ctx context.Context, bin, dir string, w io.Writer) error {
	system, err := launcher.Start(ctx, Spec(bin, dir))
	if err != nil {
		return err
	}
	defer system.Stop()
	fmt.Fprintf(w, "started %d hosts, %d engines, %d service, a log and a host list\n", len(system.Hosts), len(system.Engines), len(system.Services))
	if err := publishRules(ctx, system, w); err != nil {
		return err
	}
	if err := system.AwaitReady(ctx); err != nil {
		return err
	}
	caller := loadgenerator.NewCaller([]netip.AddrPort{system.Hosts[0].Address}, launcher.Token, "writer", "desk")
	for _, step := range []func(context.Context, *launcher.System, *loadgenerator.Caller, io.Writer) error{summarise, openTicket, lookup, publishAgain} {
		if err := step(ctx, system, caller, w); err != nil {
			return err
		}
	}
	fmt.Fprintln(w, "every answer was right")
	return nil
}

// Publish publishes the rule file text, based on version base, through host and returns the verdict.
func Publish(ctx context.Context, host *launcher.Process, id string, base uint64, text string) (administrator.Verdict, error) {
	var v administrator.Verdict
	data, err := json.Marshal(administrator.Publication{ID: id, Base: base, Author: "lab", Text: text})
	if err != nil {
		return v, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/rules", host.Operators), bytes.NewReader(data))
	if err != nil {
		return v, err
	}
	r.Header.Set("Authorization", "Bearer "+launcher.OperatorKey)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return v, errorx.Decorate(err, "demonstrator: unable to publish rules")
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v, err
}

// Launch starts a system, publishes its first rules and waits until it is ready. The caller must stop it.
func Launch(ctx context.Context, spec launcher.Spec, t loadgenerator.Targets) (*launcher.System, error) {
	s, err := launcher.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	v, err := Publish(ctx, s.Hosts[0], "first", 0, launcher.Rules(t))
	if err == nil && v.Verdict != administrator.Accepted {
		err = &CheckError{Step: "the first rules", Reason: fmt.Sprintf("%+v", v)}
	}
	if err == nil {
		err = s.AwaitReady(ctx)
	}
	if err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func publishRules(ctx context.Context, s *launcher.System, w io.Writer) error {
	v, err := Publish(ctx, s.Hosts[0], "demo-1", 0, launcher.Rules(launcher.DefaultTargets))
	if err != nil {
		return err
	}
	if v.Verdict != administrator.Accepted || len(v.InForce) != hostCount {
		return &CheckError{Step: "the first rules", Reason: fmt.Sprintf("%+v", v)}
	}
	fmt.Fprintf(w, "rules: version %d in force on %s\n", v.Version, strings.Join(v.InForce, ", "))
	return nil
}

func summarise(ctx context.Context, _ *launcher.System, c *loadgenerator.Caller, w io.Writer) error {
	words := make([]string, documentWords)
	for i := range words {
		words[i] = fmt.Sprintf("brief%d", i)
	}
	prompt := strings.Join(words, " ")
	r := c.Complete(ctx, netip.AddrPort{}, "demo-summary", prompt, summaryTokens, false)
	if r.Err != nil {
		return r.Err
	}
	if !r.IsComplete || r.Text != modelserver.Answer(prompt+"\n", summaryTokens) {
		return &CheckError{Step: "the summary", Reason: fmt.Sprintf("status %d %s, %d bytes, whole %t", r.Status, r.Code, len(r.Text), r.IsComplete)}
	}
	shown := strings.Join(strings.Fields(r.Text)[:printedWords], " ")
	fmt.Fprintf(w, "summary: %d words read, %d tokens streamed, first after %d ms, last after %d ms: %s …\n",
		documentWords, summaryTokens, r.Start.Milliseconds(), r.Finish.Milliseconds(), shown)
	return nil
}

// openTicket sends the same at-most-once call through all hosts concurrently and checks that it ran once.
func openTicket(ctx context.Context, s *launcher.System, c *loadgenerator.Caller, w io.Writer) error {
	replies := make(chan loadgenerator.Reply)
	for _, h := range s.Hosts {
		go func() {
			replies <- c.Call(ctx, h.Address, http.MethodPost, c.OncePath, "demo-ticket", []byte("gas odour"))
		}()
	}
	for range s.Hosts {
		r := <-replies
		if r.Err != nil {
			return r.Err
		}
		if r.Status != http.StatusOK || r.Outcome != "done" {
			return &CheckError{Step: "the ticket", Reason: fmt.Sprintf("status %d, outcome %s: %s", r.Status, r.Outcome, r.Body)}
		}
	}
	runs, err := Runs(ctx, s)
	if err != nil {
		return err
	}
	if runs["demo-ticket"] != 1 {
		return &CheckError{Step: "the ticket", Reason: fmt.Sprintf("expected 1 run, got %d", runs["demo-ticket"])}
	}
	fmt.Fprintf(w, "ticket: sent to %d hosts at once, answered %d times, ran once\n", len(s.Hosts), len(s.Hosts))
	return nil
}

// Runs returns the number of runs of each idempotency key, summed over all services.
func Runs(ctx context.Context, s *launcher.System) (map[string]int, error) {
	total := make(map[string]int)
	for _, p := range s.Services {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/lab/runs", p.Address), nil)
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil, errorx.Decorate(err, "demonstrator: unable to fetch the runs of a service")
		}
		var runs plainserver.Runs
		err = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		if err != nil {
			return nil, err
		}
		for key, n := range runs.ByKey {
			total[key] += n
		}
	}
	return total, nil
}

func lookup(ctx context.Context, _ *launcher.System, c *loadgenerator.Caller, w io.Writer) error {
	r := c.Call(ctx, netip.AddrPort{}, http.MethodGet, c.LookupPath+"/42", "", nil)
	if r.Err != nil {
		return r.Err
	}
	if r.Status != http.StatusOK {
		return &CheckError{Step: "the lookup", Reason: fmt.Sprintf("status %d: %s", r.Status, r.Body)}
	}
	fmt.Fprintf(w, "lookup: answered after %.1f ms\n", float64(r.Finish.Microseconds())/1000)
	return nil
}

func publishAgain(ctx context.Context, s *launcher.System, _ *loadgenerator.Caller, w io.Writer) error {
	text := launcher.Rules(launcher.DefaultTargets) + "pool spare kind=service # lab: an operator's change\n"
	begin := time.Now()
	v, err := Publish(ctx, s.Hosts[1], "demo-2", 1, text)
	if err != nil {
		return err
	}
	if v.Verdict != administrator.Accepted || len(v.InForce) != hostCount {
		return &CheckError{Step: "the second rules", Reason: fmt.Sprintf("%+v", v)}
	}
	fmt.Fprintf(w, "rules: version %d in force on %s after %d ms\n", v.Version, strings.Join(v.InForce, ", "), time.Since(begin).Milliseconds())
	return nil
}
