package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hornbeamspan/hornbeamspan/lab/demonstrator"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
	"github.com/hornbeamspan/hornbeamspan/lab/modelserver"
)

type driverKey struct{}

// driver runs the commands of one script against its own system.
type driver struct {
	ctx    context.Context
	dir    string
	system *launcher.System
	// targets are the latency targets of the published rules.
	targets loadgenerator.Targets
	mu      sync.Mutex
	jobs    map[string]chan string
}

func (d *driver) stop() {
	if d.system != nil {
		d.system.Stop()
	}
}

// options are the key=value arguments of a command.
type options map[string]string

func parse(args []string) options {
	o := make(options)
	for _, w := range args {
		key, value, _ := strings.Cut(w, "=")
		o[key] = value
	}
	return o
}

func (o options) number(key string, fallback int) int {
	n, err := strconv.Atoi(o[key])
	if err != nil {
		return fallback
	}
	return n
}

// command returns the output that the script matches with stdout.
type command func(d *driver, args []string) (string, error)

var commandsByName map[string]command

func init() {
	commandsByName = map[string]command{
		"system":  (*driver).startSystem,
		"host":    (*driver).addHost,
		"signal":  (*driver).signal,
		"exited":  (*driver).exited,
		"restart": (*driver).restart,
		"fault":   (*driver).fault,
		"publish": (*driver).publish,
		"summary": (*driver).summary,
		"once":    (*driver).once,
		"onces":   (*driver).onces,
		"lookup":  (*driver).lookup,
		"load":    (*driver).load,
		"runs":    (*driver).runs,
		"engine":  (*driver).engine,
		"engines": (*driver).engines,
		"status":  (*driver).status,
		"get":     (*driver).get,
		"await":   (*driver).await,
		"bg":      (*driver).background,
		"join":    (*driver).join,
		"chaos":   (*driver).chaos,
	}
}

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	table := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, run := range commandsByName {
		table[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			d := ts.Value(driverKey{}).(*driver)
			out, err := run(d, args)
			if err != nil && !neg {
				ts.Fatalf("%s: %v", name, err)
			}
			if err == nil && neg {
				ts.Fatalf("%s: succeeded", name)
			}
			fmt.Fprintln(ts.Stdout(), out)
		}
	}
	return table
}

// startSystem starts all processes and publishes the rules: system SIZES… FLAGS… start=DURATION finish=DURATION
func (d *driver) startSystem(args []string) (string, error) {
	d.targets = launcher.DefaultTargets
	targets := parse(args)
	sizes := slices.DeleteFunc(args, func(w string) bool { return strings.HasPrefix(w, "finish=") || strings.HasPrefix(w, "start=") })
	s, err := spec(d.dir, sizes)
	if err != nil {
		return "", err
	}
	for key, target := range map[string]*time.Duration{"start": &d.targets.Start, "finish": &d.targets.Finish} {
		if targets[key] == "" {
			continue
		}
		if *target, err = time.ParseDuration(targets[key]); err != nil {
			return "", err
		}
	}
	d.system, err = demonstrator.Launch(d.ctx, s, d.targets)
	return "ready", err
}

// addHost starts an additional host: host NAME --flag…
func (d *driver) addHost(args []string) (string, error) {
	_, err := d.system.AddHost(d.ctx, args[0], args[1:])
	return "started", err
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "freeze": syscall.SIGSTOP, "thaw": syscall.SIGCONT, "term": syscall.SIGTERM,
}

// find returns a process by its name; @decoding is a decode engine that is running a request.
func (d *driver) find(name string) *launcher.Process {
	if name != "@decoding" {
		return d.system.Find(name)
	}
	for _, p := range d.system.Engines {
		s, err := loadgenerator.EngineState(d.ctx, p.Address)
		if err == nil && s.Load.Role == modelserver.RoleDecode && s.Load.Running > 0 {
			return p
		}
	}
	return nil
}

// signal sends a signal, which is kill, freeze, thaw or term: signal kill NAME
func (d *driver) signal(args []string) (string, error) {
	p := d.find(args[1])
	if p == nil {
		return "", fmt.Errorf("no process %s", args[1])
	}
	return "sent", p.Signal(signals[args[0]])
}

// exited waits until a process has exited: exited NAME LIMIT
func (d *driver) exited(args []string) (string, error) {
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return "", err
	}
	select {
	case <-d.system.Find(args[0]).Exited():
		return "exited", nil
	case <-time.After(limit):
		return "", fmt.Errorf("%s still running after %s", args[0], limit)
	}
}

func (d *driver) restart(args []string) (string, error) {
	return "restarted", d.system.Find(args[0]).Restart(d.ctx)
}

// fault configures the faults of a simulated log or service: fault log {"outage":true}
func (d *driver) fault(args []string) (string, error) {
	path := "/v1/faults"
	if strings.HasPrefix(args[0], "desk") {
		path = "/lab/faults"
	}
	return "set", d.system.Find(args[0]).SetFaults(d.ctx, path, args[1])
}

// publish publishes the lab's rules with an additional line: publish HOST ID BASE LINE…
func (d *driver) publish(args []string) (string, error) {
	base, err := strconv.ParseUint(args[2], 10, 64)
	if err != nil {
		return "", err
	}
	text := launcher.Rules(d.targets) + strings.Join(args[3:], " ") + "\n"
	v, err := demonstrator.Publish(d.ctx, d.system.Find(args[0]), args[1], base, text)
	return fmt.Sprintf("%s version=%d hosts=%d behind=%d %s%v", v.Verdict, v.Version, len(v.InForce), len(v.Pending), v.Reason, v.InForce), err
}

func (d *driver) caller(o options) (*loadgenerator.Caller, netip.AddrPort) {
	host := d.system.Hosts[0]
	if name := o["host"]; name != "" {
		host = d.system.Find(name)
	}
	return loadgenerator.NewCaller([]netip.AddrPort{host.Address}, launcher.Token, "writer", "desk"), host.Address
}

// summary requests a completion: summary host=NAME id=ID words=N tokens=N text=WORD cancel
func (d *driver) summary(args []string) (string, error) {
	o := parse(args)
	c, at := d.caller(o)
	prompt := strings.TrimSpace(strings.Repeat(o["text"]+"word ", o.number("words", 100)))
	tokens := o.number("tokens", 20)
	_, cancel := o["cancel"]
	r := c.Complete(d.ctx, at, o["id"], prompt, tokens, cancel)
	if r.Err != nil {
		return "err=" + r.Err.Error(), nil
	}
	return fmt.Sprintf("status=%d code=%s outcome=%s whole=%t right=%t in=%dms", r.Status, r.Code, r.Outcome, r.IsComplete,
		r.Text == modelserver.Answer(prompt+"\n", tokens), r.Finish.Milliseconds()), nil
}

// once makes an at-most-once call: once host=NAME key=KEY body=TEXT
func (d *driver) once(args []string) (string, error) {
	o := parse(args)
	c, at := d.caller(o)
	r := c.Call(d.ctx, at, http.MethodPost, c.OncePath, o["key"], []byte(o["body"]+"body"))
	if r.Err != nil {
		return "err=" + r.Err.Error(), nil
	}
	return fmt.Sprintf("status=%d code=%s outcome=%s in=%dms %s", r.Status, r.Code, r.Outcome, r.Finish.Milliseconds(), r.Body), nil
}

// onces makes many at-most-once calls, each at every host simultaneously, and counts the outcomes: onces from=N to=M. False
// counts keys that ran although every answer said "not_run" or repeated that of another attempt, and keys that did not run
// although an answer said "done". Keys that were sent before need again=yes.
func (d *driver) onces(args []string) (string, error) {
	o := parse(args)
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[string]int)
	perKey := make(map[string]map[string]int)
	for n := o.number("from", 0); n < o.number("to", 10); n++ {
		key := fmt.Sprintf("many-%d", n)
		mu.Lock()
		perKey[key] = make(map[string]int)
		mu.Unlock()
		for _, h := range d.system.Hosts {
			wait.Go(func() {
				c := loadgenerator.NewCaller([]netip.AddrPort{h.Address}, launcher.Token, "writer", "desk")
				r := c.Call(d.ctx, h.Address, http.MethodPost, c.OncePath, key, []byte("same"))
				outcome := r.Outcome
				if r.Err != nil {
					outcome = "broken"
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[outcome]++
				perKey[key][outcome]++
				if r.IsRepeated || r.Code == "already_run" {
					perKey[key]["repeated"]++
				}
			})
		}
		time.Sleep(time.Duration(o.number("pause", 5)) * time.Millisecond)
	}
	wait.Wait()
	runs, err := demonstrator.Runs(d.ctx, d.system)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("done=%d not_run=%d unknown=%d broken=%d false=%d",
		outcomes["done"], outcomes["not_run"], outcomes["unknown"], outcomes["broken"], countFalse(perKey, runs, o["again"] == "")), nil
}

func countFalse(perKey map[string]map[string]int, runs map[string]int, areNew bool) int {
	n := 0
	for key, outcomes := range perKey {
		if outcomes["done"] > 0 && runs[key] == 0 {
			n++
		}
		unrepeated := outcomes["done"] - outcomes["repeated"] + outcomes["unknown"] + outcomes["broken"]
		if areNew && unrepeated == 0 && runs[key] > 0 {
			n++
		}
	}
	return n
}

func (d *driver) lookup(args []string) (string, error) {
	o := parse(args)
	c, at := d.caller(o)
	r := c.Call(d.ctx, at, http.MethodGet, c.LookupPath+"/1", "", nil)
	if r.Err != nil {
		return "err=" + r.Err.Error(), nil
	}
	return fmt.Sprintf("status=%d code=%s outcome=%s in=%dms", r.Status, r.Code, r.Outcome, r.Finish.Milliseconds()), nil
}

// load generates open-loop load at the addresses that hosts announce: load seconds=N summaries=R lookups=R onces=R
func (d *driver) load(args []string) (string, error) {
	o := parse(args)
	var seeds []netip.AddrPort
	for _, h := range d.system.Hosts {
		seeds = append(seeds, h.Address)
	}
	shape := loadgenerator.Workload{
		Seed: uint64(o.number("seed", 1)), Duration: time.Duration(o.number("seconds", 5)) * time.Second,
		SummaryRate: float64(o.number("summaries", 5)), LookupRate: float64(o.number("lookups", 20)), OnceRate: float64(o.number("onces", 5)),
		PromptTokens: 200, OutputTokens: o.number("tokens", 40),
	}
	c := loadgenerator.NewCaller(seeds, launcher.Token, "writer", "desk")
	r := loadgenerator.Run(d.ctx, c, shape, d.targets, nil, &bytes.Buffer{})
	var b strings.Builder
	for _, class := range loadgenerator.Classes {
		cc := r.Classes[class]
		fmt.Fprintf(&b, "%s sent=%d whole=%d refused=%d failed=%d wrong=%d\n", class, cc.Sent, cc.Served+cc.Late, cc.Refused, cc.Failed, cc.Wrong)
	}
	return b.String(), nil
}

// runs prints how often a key ran; without a key, the number of keys that ran and the maximum of runs per key.
func (d *driver) runs(args []string) (string, error) {
	runs, err := demonstrator.Runs(d.ctx, d.system)
	if err != nil {
		return "", err
	}
	if len(args) > 0 {
		return fmt.Sprintf("runs=%d", runs[args[0]]), nil
	}
	most := 0
	for _, n := range runs {
		most = max(most, n)
	}
	return fmt.Sprintf("keys=%d most=%d", len(runs), most), nil
}

func (d *driver) engine(args []string) (string, error) {
	p := d.find(args[0])
	if p == nil {
		return "", fmt.Errorf("no process %s", args[0])
	}
	s, err := loadgenerator.EngineState(d.ctx, p.Address)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("running=%d waiting=%d held=%d flights=%d cancelled=%d completed=%d decoded=%d",
		s.Load.Running, s.Load.Waiting, s.Load.Held, len(s.Requests), s.Counts.Cancelled, s.Counts.Completed, s.Counts.Decoded), nil
}

// engines prints totals over all engines that answer.
func (d *driver) engines([]string) (string, error) {
	held, flights, alive, completed := 0, 0, 0, 0
	for _, p := range d.system.Engines {
		s, err := loadgenerator.EngineState(d.ctx, p.Address)
		if err != nil {
			continue
		}
		alive++
		held += s.Load.Held
		flights += len(s.Requests)
		completed += s.Counts.Completed
	}
	return fmt.Sprintf("alive=%d held=%d flights=%d completed=%d", alive, held, flights, completed), nil
}

func (d *driver) status(args []string) (string, error) {
	s, err := d.system.Find(args[0]).Status(d.ctx)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "rules=%d state=%s inflight=%d\n", s.Rules, s.State, s.InFlight)
	for _, h := range s.Hosts {
		fmt.Fprintf(&b, "host %s %s\n", h.Name, h.State)
	}
	for _, e := range s.Endpoints {
		fmt.Fprintf(&b, "endpoint %s leaving=%t\n", e.Name, e.Leaving)
	}
	return b.String(), nil
}

// get sends an HTTP request without an idempotency key and prints its status and body:
// get HOST callers|operators|peers METHOD PATH TOKEN BODY
func (d *driver) get(args []string) (string, error) {
	p := d.system.Find(args[0])
	address := map[string]netip.AddrPort{"callers": p.Address, "operators": p.Operators, "peers": p.Peers}[args[1]]
	body := ""
	if len(args) > 5 {
		body = args[5]
	}
	r, err := http.NewRequestWithContext(d.ctx, args[2], fmt.Sprintf("http://%s%s", address, args[3]), strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Authorization", "Bearer "+args[4])
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "err=" + err.Error(), nil
	}
	defer resp.Body.Close()
	var b bytes.Buffer
	_, _ = b.ReadFrom(resp.Body)
	return fmt.Sprintf("status=%d retry=%s %s", resp.StatusCode, resp.Header.Get("Retry-After"), b.String()), nil
}

// await repeats a command until its output matches: await LIMIT PATTERN COMMAND…
func (d *driver) await(args []string) (string, error) {
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return "", err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return "", err
	}
	var out string
	err = launcher.Await(d.ctx, limit, func() bool {
		var runErr error
		out, runErr = commandsByName[args[2]](d, args[3:])
		return runErr == nil && pattern.MatchString(out)
	})
	if err != nil {
		return out, fmt.Errorf("%w; last output: %s", err, out)
	}
	return out, nil
}

// background runs a command concurrently with the script: bg JOB COMMAND…
func (d *driver) background(args []string) (string, error) {
	done := make(chan string, 1)
	d.mu.Lock()
	d.jobs[args[0]] = done
	d.mu.Unlock()
	go func() {
		out, err := commandsByName[args[1]](d, args[2:])
		if err != nil {
			out += " err=" + err.Error()
		}
		done <- out
	}()
	return "running", nil
}

// join waits for a background command and prints its output.
func (d *driver) join(args []string) (string, error) {
	select {
	case out := <-d.jobs[args[0]]:
		return out, nil
	case <-time.After(time.Minute):
		return "", fmt.Errorf("job %s still running", args[0])
	}
}
