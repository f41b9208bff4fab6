package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/matcher"
)

// newMixedPlacer returns a placer with twelve prefill engines and six decode engines of the given versions, by turns.
func newMixedPlacer(unadmitted string, versions ...string) *Placer {
	p := newPlacer(12, 6)
	for i := range p.engines {
		p.engines[i].Version = versions[i%len(versions)]
		p.engines[i].IsUnadmitted = p.engines[i].Version == unadmitted
	}
	return p
}

func (p *Placer) versionOf(id string) string {
	for _, e := range p.engines {
		if e.ID == id {
			return e.Version
		}
	}
	return ""
}

func resumption(id int, version string) Request {
	r := request(id, epoch)
	r.Version = version
	return r
}

func TestAResumedStreamIsPlacedOnlyAtItsVersion(t *testing.T) {
	p := newMixedPlacer("", "v1", "v2")
	var waiting []Request
	for i := range 6 {
		waiting = append(waiting, resumption(i, fmt.Sprintf("v%d", 1+i%2)))
	}
	plan := p.Plan(epoch, waiting)
	require.Len(t, plan.Placements, 6)
	for _, placement := range plan.Placements {
		version := waiting[placement.ID[1]-'0'].Version
		assert.Equal(t, version, placement.Version)
		assert.Equal(t, version, p.versionOf(placement.DecodeEngine))
	}
}

func TestAStreamWhoseVersionNoEngineRunsIsRefusedAtOnce(t *testing.T) {
	p := newMixedPlacer("", "v1", "v2")
	plan := p.Plan(epoch, []Request{resumption(0, "v3"), request(1, epoch)})
	require.Len(t, plan.Refusals, 1)
	assert.Equal(t, "q0", plan.Refusals[0].ID)
	assert.Equal(t, attributor.FinalRetryAfter, plan.Refusals[0].RetryAfter)
	assert.Len(t, plan.Placements, 1)

	p.Update(p.service, p.engines[:13]) // the decode engines of v2 leave while streams wait
	plan = p.Plan(epoch.Add(time.Second), []Request{resumption(2, "v2")})
	require.Len(t, plan.Refusals, 1)
	assert.Less(t, plan.Refusals[0].RetryAfter, attributor.FinalRetryAfter, "an engine may change its stage")
}

func TestANewStreamIsNotPlacedAtAVersionThatIsNotRecorded(t *testing.T) {
	p := newMixedPlacer("v2", "v1", "v2")
	for _, placement := range p.Plan(epoch, burst(4, epoch)).Placements {
		assert.Equal(t, "v1", placement.Version)
	}
	plan := p.Plan(epoch, []Request{resumption(7, "v2")})
	require.Len(t, plan.Placements, 1, "a stream goes on at its version also if no other may begin there")
	assert.Equal(t, "v2", plan.Placements[0].Version)
}

func TestAResumedStreamWithoutRoomDoesNotBlockNewOnes(t *testing.T) {
	p := newMixedPlacer("", "v1", "v2")
	full := make([]Engine, 0, len(p.engines))
	for _, e := range p.engines {
		e.IsExcluded = !e.IsPrefill && e.Version == "v2"
		full = append(full, e)
	}
	p.Update(matcher.Engine{Slots: 24, Memory: 40000, Stride: 64, SwitchTime: 6 * time.Second, MaxHold: 2 * time.Second}, full)
	plan := p.Plan(epoch, []Request{resumption(0, "v2"), request(1, epoch)})
	require.Len(t, plan.Placements, 1)
	assert.Equal(t, "q1", plan.Placements[0].ID)
	assert.Empty(t, plan.Refusals, "it waits for an engine of its version")
}

func TestTheLastDecodeEngineOfAVersionIsMovedLast(t *testing.T) {
	p := newMixedPlacer("", "v1", "v1", "v1", "v1", "v1", "v2") // of the decode engines only g5 runs v2
	for i := range 5 {
		p.packer.Add(fmt.Sprintf("g%d", i), request(i, epoch).Job, epoch)
	}
	e, ok := p.pickEngineToMove(epoch, true)
	require.True(t, ok)
	assert.NotEqual(t, "g5", e.ID)
}
