// Package measurer compares placement policies on launched systems, under load and under faults. All policies are measured
// with the same traces and seeds.
package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/lab/demonstrator"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/hostlistclient"
)

// crashWord in a prompt crashes every engine that runs it.
const crashWord = "POISON"

// Deployment is the size of the system of one user.
type Deployment struct {
	Name        string
	DataCentres int
	Fleet       loadgenerator.Fleet
	Services    int
}

// The deployments of the users. The engines are split between prefill and decode so that both have the same capacity.
var (
	Olfato = Deployment{Name: "olfato", DataCentres: 3, Services: 3, Fleet: newFleet(4, 5)}
	Adaeze = Deployment{Name: "adaeze", DataCentres: 4, Services: 4, Fleet: newFleet(4, 5)}
)

func newFleet(prefill, decode int) loadgenerator.Fleet {
	return loadgenerator.Fleet{PrefillEngines: prefill, DecodeEngines: decode, Slots: 20, PrefillSpeed: 20000, ExportSpeed: 200000, StepTime: 10 * time.Millisecond}
}

// Policies lists the policies to compare: the default policy, then the baselines.
var Policies = []string{"book", "choices", "robin", "random"}

// Options say what to measure and where the results go. Bin is the folder of the programs.
type Options struct {
	Bin      string
	Dir      string
	Seconds  int
	Seeds    []uint64
	Loads    []float64
	Policies []string
	Hosts    int
	Faults   bool
}

// Row is the result of one run; rows.json has one for each.
type Row struct {
	Deployment string               `json:"deployment"`
	Policy     string               `json:"policy"`
	Load       float64              `json:"load"`
	Seed       uint64               `json:"seed"`
	Fault      string               `json:"fault,omitempty"`
	Oracle     float64              `json:"oracle"`
	Result     loadgenerator.Result `json:"result"`
	// EnginesLost is the number of engine processes that ended during the run.
	EnginesLost int `json:"engines_lost"`
	// PeerBytes is the mean traffic with other hosts per host in bytes per second, in both directions.
	PeerBytes float64 `json:"peer_bytes_per_s"`
	// CPUShare is the mean share of a core per host, MaxMemory the largest resident size of a host in bytes.
	CPUShare  float64 `json:"processor"`
	MaxMemory int64   `json:"memory"`
}

// Goodput returns the share of summaries that met both targets.
func (r Row) Goodput() float64 { return r.Result.Classes[loadgenerator.Summary].Goodput }

// system is a launched system under measurement.
type system struct {
	*launcher.System
	deployment Deployment
	policy     string
}

func start(ctx context.Context, o Options, d Deployment, policy string) (*system, error) {
	dir, err := os.MkdirTemp(o.Dir, d.Name+"-"+policy+"-")
	if err != nil {
		return nil, errorx.Decorate(err, "measurer: unable to create a folder for logs")
	}
	s, err := demonstrator.Launch(ctx, launcher.Spec{
		Bin: o.Bin, Dir: dir, Hosts: o.Hosts, DataCentres: d.DataCentres,
		Prefill: d.Fleet.PrefillEngines, Decode: d.Fleet.DecodeEngines, Services: d.Services,
		Args: map[string][]string{
			"host":   {"--policy", policy, "--log-level", "warn"},
			"engine": {"--crash-word", crashWord},
		},
	}, launcher.DefaultTargets)
	if err != nil {
		return nil, err
	}
	return &system{System: s, deployment: d, policy: policy}, nil
}

func (s *system) newCaller() *loadgenerator.Caller {
	var seeds []netip.AddrPort
	for _, h := range s.Hosts {
		seeds = append(seeds, h.Address)
	}
	return loadgenerator.NewCaller(seeds, launcher.Token, "writer", "desk")
}

const (
	// warmUpLoad is the share of capacity that is offered before the measured runs, to fill the caches.
	warmUpLoad = 0.5
	// warmUpSeed is the seed of the load before the measured runs.
	warmUpSeed = 1000
)

// warmUp sends a load whose results are discarded.
func (s *system) warmUp(ctx context.Context, o Options) {
	loadgenerator.Run(ctx, s.newCaller(), newWorkload(s.deployment, o, warmUpLoad, warmUpSeed), launcher.DefaultTargets, nil, io.Discard)
}

func newWorkload(d Deployment, o Options, load float64, seed uint64) loadgenerator.Workload {
	wl := loadgenerator.Workload{
		Seed: seed, Duration: time.Duration(o.Seconds) * time.Second, LookupRate: 40, OnceRate: 5,
		PromptTokens: 1000, OutputTokens: 100, Prefixes: 20, PrefixTokens: 256, CrashWord: crashWord,
	}
	wl.SummaryRate = load * d.Fleet.Capacity(wl)
	return wl
}

// run sends one workload and returns its row. inject, if set, causes a fault during the run.
func (s *system) run(ctx context.Context, workload loadgenerator.Workload, load float64, fault string, inject func(context.Context), w io.Writer) Row {
	row := Row{
		Deployment: s.deployment.Name, Policy: s.policy, Load: load, Seed: workload.Seed, Fault: fault,
		Oracle: loadgenerator.OracleGoodput(loadgenerator.Trace(workload), s.deployment.Fleet, launcher.DefaultTargets),
	}
	before := s.usage(ctx)
	begin := time.Now()
	if inject != nil {
		go inject(ctx)
	}
	row.Result = loadgenerator.Run(ctx, s.newCaller(), workload, launcher.DefaultTargets, hostlistclient.New(s.HostList.Address), io.Discard)
	row.setUsage(before, s.usage(ctx), time.Since(begin))
	row.EnginesLost = s.enginesLost()
	cc := row.Result.Classes[loadgenerator.Summary]
	fmt.Fprintf(w, "%-7s %-8s load %.2f seed %d %-14s goodput %.3f oracle %.3f wasted %.2f%% start p95 %.0f ms finish p95 %.0f ms failed %d wrong %d lookups %.3f lost %d peers %.0f B/s cpu %.2f%% rss %.1f MB %v\n",
		row.Deployment, row.Policy, load, workload.Seed, fault, row.Goodput(), row.Oracle, 100*row.Result.WastedShare, cc.StartP95, cc.FinishP95,
		cc.Failed, cc.Wrong, row.Result.Classes[loadgenerator.Lookup].Goodput, row.EnginesLost, row.PeerBytes, 100*row.CPUShare, float64(row.MaxMemory)/1e6, cc.Codes)
	return row
}

func (s *system) enginesLost() int {
	n := 0
	for _, e := range s.Engines {
		select {
		case <-e.Exited():
			n++
		default:
		}
	}
	return n
}

// Run measures the policies on the deployments. It writes rows.json and SVG charts to Dir, and to w a line for each run and
// a summary.
func Run(ctx context.Context, o Options, deployments []Deployment, w io.Writer) error {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return errorx.Decorate(err, "measurer: unable to create the folder for results")
	}
	var rows []Row
	for _, d := range deployments {
		for _, policy := range o.Policies {
			measured, err := measurePolicy(ctx, o, d, policy, w)
			if err != nil {
				return err
			}
			rows = append(rows, measured...)
		}
		if o.Faults {
			measured, err := measureFaults(ctx, o, d, w)
			if err != nil {
				return err
			}
			rows = append(rows, measured...)
		}
	}
	summarise(rows, w)
	return writeResults(o.Dir, rows)
}

func measurePolicy(ctx context.Context, o Options, d Deployment, policy string, w io.Writer) ([]Row, error) {
	s, err := start(ctx, o, d, policy)
	if err != nil {
		return nil, err
	}
	defer s.Stop()
	s.warmUp(ctx, o)
	var rows []Row
	for _, load := range o.Loads {
		for _, seed := range o.Seeds {
			rows = append(rows, s.run(ctx, newWorkload(d, o, load, seed), load, "", nil, w))
		}
	}
	return rows, nil
}

func writeResults(dir string, rows []Row) error {
	data, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return errorx.Decorate(err, "measurer: unable to encode the rows as JSON")
	}
	if err := os.WriteFile(filepath.Join(dir, "rows.json"), data, 0o644); err != nil {
		return errorx.Decorate(err, "measurer: unable to write the rows to rows.json")
	}
	return writeCharts(dir, rows)
}

// summarise prints the mean and range of goodput, and the means of the oracle goodput and of waste, for each policy, load
// and fault.
func summarise(rows []Row, w io.Writer) {
	type group struct {
		deployment, policy, fault string
		load                      float64
	}
	var order []group
	groups := make(map[group][]Row)
	for _, r := range rows {
		g := group{r.Deployment, r.Policy, r.Fault, r.Load}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], r)
	}
	for _, g := range order {
		low, high, sum, oracle, waste := math.Inf(1), math.Inf(-1), 0.0, 0.0, 0.0
		for _, r := range groups[g] {
			low, high = min(low, r.Goodput()), max(high, r.Goodput())
			sum += r.Goodput()
			oracle += r.Oracle
			waste += r.Result.WastedShare
		}
		n := float64(len(groups[g]))
		fmt.Fprintf(w, "| %s | %s | %.2f | %s | %.3f | %.3f–%.3f | %.3f | %.2f%% |\n",
			g.deployment, g.policy, g.load, g.fault, sum/n, low, high, oracle/n, 100*waste/n)
	}
}
