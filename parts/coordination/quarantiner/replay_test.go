package quarantiner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Times of the replay in seconds.
const (
	// replayContact is the time after the fifth end from which on almost nothing may reach engines.
	replayContact = 3.0
	// replayBound is the number of requests that may reach engines later than that.
	replayBound = 3
	readTime    = 0.15
	crashTime   = 0.05
	outputTime  = 0.06
	runTime     = 1.0
	restartTime = 3.0
	// confirmTime is the time from the end of an engine to the report of a host that ran a request there.
	confirmTime = 0.052
	waitTime    = 2.0
	retryTime   = 0.05
)

// load is a replay: requests with parts that crash engines among sound ones, at many hosts.
type load struct {
	name    string
	hosts   int
	engines int
	// sound and bad are requests a second; bad ones have one of badParts and, like sound ones, the first part.
	sound, bad float64
	badParts   int
	subjects   int
	duration   float64
	// lossRate is the share of messages between hosts that are lost.
	lossRate float64
	// failures are times at which some engines end for another reason.
	failures []failure
	// isCut reports whether a host reaches neither engines nor other hosts at a time. To itself, the engines have ended.
	isCut func(at float64, host int) bool
	// joins is the time at which the last host starts.
	joins float64
}

type failure struct {
	at      float64
	engines int
}

// mutant is a fault of the decisions or of their use, which the checks must find.
type mutant int

const (
	sound mutant = iota
	// wholeRequests blames nothing but whole requests.
	wholeRequests
	// ownEndsOnly has each host judge by the ends that it has seen itself.
	ownEndsOnly
	// noAcquittals ignores output.
	noAcquittals
)

// result is what engines, callers and hosts saw.
type result struct {
	// ends are the times at which engines ended under each part, arrivals those of requests with it at engines.
	ends     [][]float64
	arrivals [][]float64
	// verdicts holds, for each part, when each host convicted it.
	verdicts                [][]float64
	soundSent, soundRefused int
	soundBegun              int
	messages                int
	convictedSound          int
}

type item struct {
	at float64
	n  int
	do func()
}

type queue []item

func (q queue) Len() int           { return len(q) }
func (q queue) Less(a, b int) bool { return q[a].at < q[b].at || q[a].at == q[b].at && q[a].n < q[b].n }
func (q queue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)        { *q = append(*q, x.(item)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is a request at an engine.
type run struct {
	host      int
	request   uint64
	parts     []Cause
	hasOutput bool
	isEnded   bool
}

type engine struct {
	start   int64
	isAlive bool
	runs    []*run
}

type world struct {
	load
	how       mutant
	random    *rand.Rand
	events    queue
	count     int
	now       float64
	hosts     []*Quarantine
	announced []map[Cause]float64
	engines   []*engine
	lastID    uint64
	result    result
}

func (w *world) after(delay float64, do func()) {
	w.count++
	heap.Push(&w.events, item{at: w.now + delay, n: w.count, do: do})
}

func (w *world) clock() time.Time { return after(w.now) }

func badPart(n int) Cause { return Cause{Kind: Part, ID: uint64(1000 + n)} }

func (l load) replay(seed uint64, how mutant) result {
	w := &world{load: l, how: how, random: rand.New(rand.NewPCG(seed, 1))}
	for range l.hosts {
		q := New(testConfig)
		q.SetHosts(epoch, l.hosts, 50*time.Millisecond+time.Duration(l.hosts)*500*time.Microsecond)
		w.hosts = append(w.hosts, q)
		w.announced = append(w.announced, make(map[Cause]float64))
	}
	for range l.engines {
		w.engines = append(w.engines, &engine{isAlive: true})
	}
	w.result.ends = make([][]float64, l.badParts)
	w.result.arrivals = make([][]float64, l.badParts)
	w.result.verdicts = make([][]float64, l.badParts)
	for p := range w.result.verdicts {
		w.result.verdicts[p] = make([]float64, l.hosts)
	}
	w.arrive(l.sound, -1)
	for p := range l.badParts {
		w.arrive(l.bad, p)
	}
	for _, f := range l.failures {
		w.after(f.at, func() {
			for i := range f.engines {
				w.crash(i%l.engines, -1)
			}
		})
	}
	w.compare()
	w.observeVerdicts()
	for len(w.events) > 0 && w.events[0].at < l.duration {
		next := heap.Pop(&w.events).(item)
		w.now = next.at
		next.do()
	}
	for _, q := range w.hosts {
		for _, c := range q.Verdicts(w.clock()) {
			if c.Kind == Part && c.ID < 1000 {
				w.result.convictedSound++
			}
		}
	}
	return w.result
}

// arrive sends requests at a rate, with a part that crashes engines unless it is -1.
func (w *world) arrive(perSecond float64, part int) {
	w.after(w.random.ExpFloat64()/perSecond, func() {
		w.request(part)
		w.arrive(perSecond, part)
	})
}

func (w *world) isUp(host int) bool { return host < len(w.hosts)-1 || w.now >= w.joins }

func (w *world) isLost(a, b int) bool {
	return w.isCut != nil && (w.isCut(w.now, a) || w.isCut(w.now, b)) || !w.isUp(a) || !w.isUp(b) || w.random.Float64() < w.lossRate
}

func (w *world) isConvicted(r *run) bool {
	causes := append([]Cause{{Kind: Request, ID: r.request}}, r.parts...)
	return w.hosts[r.host].IsConvicted(w.clock(), causes...)
}

// request handles one request from its arrival at a host to its run at an engine.
func (w *world) request(part int) {
	host := w.random.IntN(len(w.hosts))
	if !w.isUp(host) || w.isCut != nil && w.isCut(w.now, host) {
		return
	}
	w.lastID++
	r := &run{host: host, request: 1 << 32 * w.lastID, parts: []Cause{first, {Kind: Part, ID: 100 + uint64(w.random.IntN(max(1, w.subjects)))}}}
	if part >= 0 {
		r.parts[1] = badPart(part)
	} else {
		w.result.soundSent++
	}
	if w.isConvicted(r) {
		w.refuse(part)
		return
	}
	w.reach(part)
	w.after(readTime, func() { w.decode(r, part, w.now+waitTime) })
}

func (w *world) refuse(part int) {
	if part < 0 {
		w.result.soundRefused++
	}
}

func (w *world) reach(part int) {
	if part >= 0 {
		w.result.arrivals[part] = append(w.result.arrivals[part], w.now)
	}
}

// decode runs a request at an engine that is alive, or waits for one.
func (w *world) decode(r *run, part int, until float64) {
	if w.isConvicted(r) {
		w.refuse(part)
		return
	}
	var alive []int
	for i, e := range w.engines {
		if e.isAlive {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 {
		if w.now < until {
			w.after(retryTime, func() { w.decode(r, part, until) })
		}
		return
	}
	w.reach(part)
	n := alive[w.random.IntN(len(alive))]
	e := w.engines[n]
	e.runs = append(e.runs, r)
	start := e.start
	if part >= 0 {
		w.after(crashTime, func() {
			if e.start == start && e.isAlive {
				w.crash(n, part)
			}
		})
		return
	}
	w.after(outputTime, func() {
		if r.isEnded {
			return
		}
		r.hasOutput = true
		w.result.soundBegun++
		if w.how != noAcquittals {
			w.announce(r.host, w.hosts[r.host].RecordOutput(w.clock(), r.parts...))
		}
	})
	w.after(runTime, func() {
		r.isEnded = true
		e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
	})
}

// crash ends an engine and interrupts what runs there.
func (w *world) crash(n, part int) {
	e := w.engines[n]
	if !e.isAlive {
		return
	}
	if part >= 0 {
		w.result.ends[part] = append(w.result.ends[part], w.now)
	}
	ended := Engine{ID: fmt.Sprint("e", n), Start: e.start}
	blames := make(map[int][]Blame)
	for _, r := range e.runs {
		r.isEnded = true
		blames[r.host] = append(blames[r.host], Blame{Cause: Cause{Kind: Request, ID: r.request}})
		if r.hasOutput || w.how == wholeRequests {
			continue
		}
		for depth, p := range r.parts {
			blames[r.host] = append(blames[r.host], Blame{Cause: p, Depth: depth})
		}
	}
	at := w.now
	for host := range w.hosts {
		list, ok := blames[host]
		if !ok {
			continue
		}
		w.after(confirmTime, func() {
			w.report(host, End{Engine: ended, At: after(at), Witnesses: []string{fmt.Sprint(host)}, Blames: list}, true)
		})
	}
	e.isAlive, e.runs = false, nil
	e.start++
	w.after(restartTime, func() { e.isAlive = true })
}

// report tells the other hosts what one has seen of an end; some of them check it if it is the first report.
func (w *world) report(host int, e End, isFirst bool) {
	q := w.hosts[host]
	if !q.Observe(w.clock(), e) {
		return
	}
	e.Blames = q.Unacquitted(e)
	if w.how == ownEndsOnly {
		return
	}
	for other := range w.hosts {
		if other == host || w.isLost(host, other) {
			continue
		}
		w.result.messages++
		isWitness := isFirst && (other-host+len(w.hosts))%len(w.hosts) <= 3
		w.after(0.001+0.003*w.random.Float64(), func() {
			w.merge(other, Evidence{Ends: []End{e}})
			if isWitness {
				w.after(0.002, func() {
					w.report(other, End{Engine: e.Engine, At: e.At, Witnesses: []string{fmt.Sprint(other)}}, false)
				})
			}
		})
	}
}

func (w *world) merge(host int, ev Evidence) {
	q := w.hosts[host]
	for _, a := range ev.Acquittals {
		w.announced[host][a.Cause] = w.now
	}
	q.Merge(w.clock(), ev)
	var own []Acquittal
	for _, e := range ev.Ends {
		for _, a := range q.OwnAcquittals(w.clock(), e) {
			if q.Blamed(a.Cause) >= testConfig.PartLimit-1 {
				own = append(own, a)
			}
		}
	}
	w.after(w.random.Float64()*0.0005*float64(len(w.hosts)), func() { w.announce(host, own) })
}

// announce tells the other hosts of acquittals, unless it or another one did so lately.
func (w *world) announce(host int, list []Acquittal) {
	list = slices.DeleteFunc(slices.Clone(list), func(a Acquittal) bool {
		at, ok := w.announced[host][a.Cause]
		return ok && w.now-at < 1
	})
	if len(list) == 0 || w.how == ownEndsOnly {
		return
	}
	for _, a := range list {
		w.announced[host][a.Cause] = w.now
	}
	for other := range w.hosts {
		if other != host && !w.isLost(host, other) {
			w.result.messages++
			w.after(0.001+0.003*w.random.Float64(), func() { w.merge(other, Evidence{Acquittals: list}) })
		}
	}
}

// compare has each host compare its evidence with three others each second.
func (w *world) compare() {
	w.after(1, func() {
		for host, q := range w.hosts {
			for range 3 {
				other := w.random.IntN(len(w.hosts))
				if w.how == ownEndsOnly || q.IsEmpty() || other == host || w.isLost(host, other) {
					continue
				}
				mine, theirs := q.Evidence(w.clock()), w.hosts[other].Evidence(w.clock())
				w.merge(host, theirs)
				w.merge(other, mine)
			}
		}
		w.compare()
	})
}

// observeVerdicts records when each host convicts each part.
func (w *world) observeVerdicts() {
	w.after(0.005, func() {
		for host, q := range w.hosts {
			for _, c := range q.Verdicts(w.clock()) {
				if p := int(c.ID) - 1000; c.Kind == Part && p >= 0 && w.result.verdicts[p][host] == 0 {
					w.result.verdicts[p][host] = w.now
				}
			}
		}
		w.observeVerdicts()
	})
}

// late returns how many requests with a part reached engines later than replayContact after the fifth end.
func (r result) late(part int) int {
	if len(r.ends[part]) < 5 {
		return 0
	}
	n := 0
	for _, at := range r.arrivals[part] {
		if at > r.ends[part][4]+replayContact {
			n++
		}
	}
	return n
}

var replayLoads = []load{
	{name: "1 host", hosts: 1, engines: 3, sound: 3, bad: 2, badParts: 1, subjects: 10, duration: 20},
	{name: "12 hosts", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 1, subjects: 40, duration: 20},
	{name: "12 hosts, a rush", hosts: 12, engines: 6, sound: 10, bad: 20, badParts: 1, subjects: 40, duration: 20},
	{name: "12 hosts, few sound requests", hosts: 12, engines: 6, sound: 0.5, bad: 2, badParts: 1, subjects: 3, duration: 20},
	{name: "12 hosts, two parts", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 2, subjects: 40, duration: 30},
	{name: "12 hosts, a tenth of the messages lost", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 1, subjects: 40, duration: 20, lossRate: 0.1},
	{
		name: "12 hosts, engines end for other reasons, too", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 1, subjects: 40, duration: 20,
		failures: []failure{{2, 2}, {3, 1}, {4, 1}, {5, 6}, {9, 6}, {10, 3}},
	},
	{
		name: "12 hosts, one cut off", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 1, subjects: 40, duration: 20,
		isCut: func(at float64, host int) bool { return host == 3 && at < 8 },
	},
	{name: "12 hosts, one starts later", hosts: 12, engines: 6, sound: 10, bad: 2, badParts: 1, subjects: 40, duration: 20, joins: 10},
	{name: "100 hosts, three parts", hosts: 100, engines: 29, sound: 50, bad: 10, badParts: 3, subjects: 200, duration: 12},
	{name: "100 hosts", hosts: 100, engines: 29, sound: 50, bad: 10, badParts: 1, subjects: 200, duration: 12},
}

// Requests that share a part end each engine that begins to write on it. The replay measures how many, and whom the verdict hits.
func TestPartsThatCrashEnginesAreStoppedInTimeAndSoundOnesAreNot(t *testing.T) {
	for _, l := range replayLoads {
		t.Run(l.name, func(t *testing.T) {
			var ends, late, spread []float64
			refused, sent, begun, messages := 0, 0, 0, 0
			seeds := uint64(20)
			if l.hosts >= 100 {
				seeds = 6
			}
			for seed := range seeds {
				r := l.replay(seed, sound)
				for p := range l.badParts {
					ends = append(ends, float64(len(r.ends[p])))
					late = append(late, float64(r.late(p)))
					slices.Sort(r.verdicts[p])
					assert.NotZero(t, r.verdicts[p][0], "seed %d: a host has no verdict", seed)
					if l.joins == 0 && l.isCut == nil {
						spread = append(spread, r.verdicts[p][l.hosts-1]-r.verdicts[p][0])
					}
				}
				refused, sent, begun, messages = refused+r.soundRefused, sent+r.soundSent, begun+r.soundBegun, messages+r.messages
				assert.Zero(t, r.convictedSound, "seed %d", seed)
			}
			slices.Sort(ends)
			slices.Sort(spread)
			slices.Sort(late)
			t.Logf("engines ended: median %.0f, most %.0f; late arrivals: most %.0f; sound: %d sent, %d begun, %d refused; messages %d a replay",
				ends[len(ends)/2], ends[len(ends)-1], late[len(late)-1], sent, begun, refused, messages/int(seeds))
			if len(spread) > 0 {
				t.Logf("from the first host's verdict to the last one's: median %.3f s, most %.3f s", spread[len(spread)/2], spread[len(spread)-1])
				assert.Less(t, spread[len(spread)-1], replayContact)
			}
			assert.LessOrEqual(t, late[len(late)-1], float64(replayBound))
			assert.Zero(t, refused, "sound requests")
		})
	}
}

// No part is to blame here: engines end one after the other, or all at once, while subjects come and go.
func TestEnginesThatEndForOtherReasonsConvictNoPart(t *testing.T) {
	for name, failures := range map[string][]failure{
		"one after the other":  {{1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 5}, {6, 6}, {7, 1}, {8, 2}, {9, 3}},
		"all, again and again": {{1, 6}, {4.1, 6}, {7.2, 6}, {10.3, 6}, {13.4, 6}, {16.5, 6}},
	} {
		for seed := range uint64(20) {
			l := load{hosts: 12, engines: 6, sound: 20, subjects: 30, duration: 20, failures: failures}
			r := l.replay(seed, sound)
			assert.Zero(t, r.convictedSound, "%s, seed %d", name, seed)
			assert.Zero(t, r.soundRefused, "%s, seed %d", name, seed)
		}
	}
}

func TestTheReplayFindsWrongDecisions(t *testing.T) {
	crashing := load{hosts: 12, engines: 6, sound: 10, bad: 4, badParts: 1, subjects: 40, duration: 20}
	failing := load{hosts: 12, engines: 6, sound: 20, subjects: 30, duration: 20, failures: []failure{{1, 1}, {2, 2}, {3, 3}, {4, 4}, {5, 1}, {6, 2}}}
	for _, c := range []struct {
		name string
		how  mutant
		load load
	}{
		{"evidence by whole requests", wholeRequests, crashing},
		{"only ends that the host has seen", ownEndsOnly, crashing},
		{"output ignored", noAcquittals, failing},
	} {
		found := 0
		for seed := range uint64(10) {
			r := c.load.replay(seed, c.how)
			isLate := len(r.ends) > 0 && (r.late(0) > replayBound || len(r.ends[0]) > 5)
			if isLate || r.soundRefused > 0 {
				found++
			}
		}
		t.Logf("%s: found with %d of 10 seeds", c.name, found)
		assert.Positive(t, found, c.name)
	}
}
