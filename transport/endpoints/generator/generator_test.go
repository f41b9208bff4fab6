package generator

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/isolator"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

type noHosts struct{}

func (noHosts) Self() tracker.Member      { return tracker.Member{} }
func (noHosts) Serving() []tracker.Member { return nil }
func (noHosts) MaxServing() int           { return 1 }

// The fake clock never advances and there are no engines, so a refusal that waited for either would block forever.
func TestAConvictedRequestIsRefusedWithoutWaitingAndWithoutAnEngine(t *testing.T) {
	clock := clockwork.NewFakeClock()
	i := isolator.New(isolator.Options{
		RequestLimit: 2, PartLimit: 2, Random: rand.New(rand.NewPCG(2, 1)), Hosts: noHosts{}, Messenger: messenger.New("key", hclog.NewNullLogger(), tally.NoopScope),
		Clock: clock, Logs: hclog.NewNullLogger(),
	})
	g := New(Options{Isolator: i, Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Logs: hclog.NewNullLogger()})
	i.RecordCrash(isolator.Endpoint{ID: "engine-1"}, xxhash.Sum64String("poison"))
	i.RecordCrash(isolator.Endpoint{ID: "engine-2"}, xxhash.Sum64String("poison"))

	err := g.Generate(context.Background(), Request{Prompt: "poison"}, nil)

	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, "request_convicted", refused.Code)
	require.False(t, refused.Executed)
}
