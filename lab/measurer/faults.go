package measurer

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/hornbeamspan/hornbeamspan/lab/loadgenerator"
)

// faultLoad is the share of capacity that is offered during runs with faults.
const faultLoad = 0.8

// fault changes the workload of a run, or is injected while the run goes on. middle is half the duration of the run.
type fault struct {
	name   string
	modify func(*loadgenerator.Workload)
	inject func(ctx context.Context, s *system, middle time.Duration)
}

func unchanged(*loadgenerator.Workload) {}

var faults = []fault{
	{name: "none", modify: unchanged},
	{name: "decode killed", modify: unchanged, inject: func(_ context.Context, s *system, middle time.Duration) {
		time.Sleep(middle)
		_ = s.Find("decode-0").Signal(syscall.SIGKILL)
	}},
	{name: "host killed", modify: unchanged, inject: func(_ context.Context, s *system, middle time.Duration) {
		time.Sleep(middle)
		_ = s.Find("host-1").Signal(syscall.SIGKILL)
	}},
	{name: "host frozen", modify: unchanged, inject: func(_ context.Context, s *system, middle time.Duration) {
		time.Sleep(middle / 2)
		_ = s.Find("host-2").Signal(syscall.SIGSTOP)
		time.Sleep(middle)
		_ = s.Find("host-2").Signal(syscall.SIGCONT)
	}},
	{name: "log out", modify: unchanged, inject: func(ctx context.Context, s *system, middle time.Duration) {
		time.Sleep(middle / 2)
		_ = s.Log.SetFaults(ctx, "/v1/faults", `{"outage":true}`)
		time.Sleep(middle)
		_ = s.Log.SetFaults(ctx, "/v1/faults", `{"outage":false}`)
	}},
	{name: "10% leave", modify: func(wl *loadgenerator.Workload) { wl.CancelShare = 0.1 }},
	{name: "poison", modify: func(wl *loadgenerator.Workload) { wl.CrashInterval = wl.Duration }},
}

// measureFaults runs each fault on a new system, for the default policy and for the best baseline.
func measureFaults(ctx context.Context, o Options, d Deployment, w io.Writer) ([]Row, error) {
	var rows []Row
	for _, policy := range []string{"book", "choices"} {
		for _, f := range faults {
			row, err := measureFault(ctx, o, d, policy, f, w)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func measureFault(ctx context.Context, o Options, d Deployment, policy string, f fault, w io.Writer) (Row, error) {
	s, err := start(ctx, o, d, policy)
	if err != nil {
		return Row{}, err
	}
	defer s.Stop()
	s.warmUp(ctx, o)
	workload := newWorkload(d, o, faultLoad, o.Seeds[0])
	f.modify(&workload)
	var inject func(context.Context)
	if f.inject != nil {
		inject = func(ctx context.Context) { f.inject(ctx, s, workload.Duration/2) }
	}
	return s.run(ctx, workload, faultLoad, f.name, inject, w), nil
}
