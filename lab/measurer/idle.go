package measurer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hornbeamspan/hornbeamspan/lab/demonstrator"
	"github.com/hornbeamspan/hornbeamspan/lab/launcher"
)

const (
	// settleTime is the wait after a start, so that the work of the start is not measured.
	settleTime = 5 * time.Second
	// idleDuration is how long the idle system is measured.
	idleDuration = 15 * time.Second
	// latencyCalls is the number of lookups per path for the added latency.
	latencyCalls = 1000
)

// HostCounts are the sizes of systems for measurements over the number of hosts.
var HostCounts = []int{3, 6, 12, 24}

// Idle measures the resource usage of hosts without load, and the latency that a host adds, for systems of several sizes.
func Idle(ctx context.Context, o Options, w io.Writer) error {
	fmt.Fprintln(w, "| hosts | CPU (of a core) | largest memory | bytes/s between hosts | direct p99 | through a host p99 | added p99 |")
	for _, n := range HostCounts {
		o.Hosts = n
		if err := measureIdle(ctx, o, w); err != nil {
			return err
		}
	}
	return nil
}

func measureIdle(ctx context.Context, o Options, w io.Writer) error {
	s, err := start(ctx, o, Olfato, Policies[0])
	if err != nil {
		return err
	}
	defer s.Stop()
	time.Sleep(settleTime)
	before := s.usage(ctx)
	begin := time.Now()
	time.Sleep(idleDuration)
	var row Row
	row.setUsage(before, s.usage(ctx), time.Since(begin))
	direct, through := s.latency(ctx)
	fmt.Fprintf(w, "| %d | %.2f%% | %.1f MB | %.0f | %s | %s | %s |\n", o.Hosts, 100*row.CPUShare, float64(row.MaxMemory)/1e6, row.PeerBytes,
		direct, through, through-direct)
	return nil
}

// latency returns the 99th percentiles of the latency of lookups to a service, directly and through a host. Both kinds
// alternate.
func (s *system) latency(ctx context.Context) (direct, through time.Duration) {
	c := s.newCaller()
	var directs, throughs []time.Duration
	for range latencyCalls {
		begin := time.Now()
		if resp, err := http.Get(fmt.Sprintf("http://%s/lookups/1", s.Services[0].Address)); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			directs = append(directs, time.Since(begin))
		}
		if r := c.Call(ctx, s.Hosts[0].Address, http.MethodGet, c.LookupPath+"/1", "", nil); r.Err == nil {
			throughs = append(throughs, r.Finish)
		}
	}
	return percentile(directs), percentile(throughs)
}

func percentile(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)*99/100].Round(10 * time.Microsecond)
}

// PublicationDelay measures how long a publication takes to be in force on every host, for systems of several sizes.
func PublicationDelay(ctx context.Context, o Options, w io.Writer) error {
	fmt.Fprintln(w, "| hosts | publications | in force everywhere after, median | longest |")
	for _, n := range HostCounts {
		o.Hosts = n
		s, err := start(ctx, o, Olfato, Policies[0])
		if err != nil {
			return err
		}
		times := s.publicationDelays(ctx)
		s.Stop()
		if len(times) == 0 {
			return errorx.IllegalState.New("measurer: unable to publish: expected at least one publication to be in force on all %d hosts, got none", n)
		}
		fmt.Fprintf(w, "| %d | %d | %s | %s |\n", n, len(times), times[len(times)/2].Round(100*time.Microsecond), times[len(times)-1].Round(100*time.Microsecond))
	}
	return nil
}

// publicationDelays publishes changes through the hosts in turn and returns the times until each was in force on all hosts,
// sorted.
func (s *system) publicationDelays(ctx context.Context) []time.Duration {
	const changes = 30
	var times []time.Duration
	for i := range changes {
		text := launcher.Rules(launcher.DefaultTargets) + fmt.Sprintf("pool change-%d kind=service # lab: change\n", i)
		begin := time.Now()
		v, err := demonstrator.Publish(ctx, s.Hosts[i%len(s.Hosts)], fmt.Sprintf("spread-%d", i), uint64(i+1), text)
		if err == nil && len(v.InForce) == len(s.Hosts) {
			times = append(times, time.Since(begin))
		}
	}
	slices.Sort(times)
	return times
}
