package throttler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var five = Limit{IsSet: true, PerSecond: 5, ObservedAt: epoch}

// newOwner returns the throttler of a host that has been the owner for a minute.
func newOwner() *Throttler {
	t := New("own", takeover)
	for at := epoch.Add(-time.Minute); !at.After(epoch); at = at.Add(StandingInterval) {
		t.SetStanding(at, Standing{IsOwner: true, Hosts: 4})
	}
	return t
}

// permitted returns how many of n requests are permitted at once.
func (t *Throttler) permitted(now time.Time, n int) int {
	permitted := 0
	for range n {
		if _, ok := t.Permit(now, "e", epoch, five, 0); ok {
			permitted++
		}
	}
	return permitted
}

func TestAnOwnerSavesTheRequestsOfOneSecond(t *testing.T) {
	o := newOwner()
	assert.Equal(t, 5, o.Allowance(epoch, "e", epoch, five))
	assert.Equal(t, 5, o.permitted(epoch, 20))
	wait, ok := o.Permit(epoch, "e", epoch, five, 0)
	assert.False(t, ok)
	assert.Equal(t, 200*time.Millisecond, wait)
	assert.Equal(t, 5, o.permitted(at(100), 20))
}

func TestAnOwnerThatWasSuspendedBeginsLikeANewOne(t *testing.T) {
	o := newOwner()
	resumed := epoch.Add(maxStandingGap + 1)
	o.SetStanding(resumed, Standing{IsOwner: true, Hosts: 4})
	assert.Zero(t, o.permitted(resumed, 20), "nothing is saved")
	assert.Equal(t, 2, o.permitted(resumed.Add(time.Second), 20), "half of the limit")
}

func TestAPermitThatIsGivenBackIsPermittedAgain(t *testing.T) {
	o := newOwner()
	assert.Equal(t, 5, o.permitted(epoch, 20))
	o.GiveBack("e", epoch)
	o.GiveBack("e", at(-1)) // of an earlier incarnation
	assert.Equal(t, 1, o.permitted(epoch, 20))
}

func TestRequestsWithoutAPermitDelayOthersForABoundedTime(t *testing.T) {
	o := newOwner()
	o.Charge(epoch, "e", epoch, Limit{}, 1000)
	assert.Equal(t, 5, o.Allowance(epoch, "e", epoch, five), "there was no limit")
	o.Charge(epoch, "e", epoch, five, 1000)
	wait, ok := o.Permit(epoch, "e", epoch, five, time.Second)
	assert.False(t, ok)
	assert.Equal(t, maxDebtTime+200*time.Millisecond, wait)
}

func TestAnotherIncarnationOfAnEndpointHasItsOwnLimit(t *testing.T) {
	o := newOwner()
	assert.Equal(t, 5, o.permitted(epoch, 20))
	_, ok := o.Permit(epoch, "e", at(1), five, 0)
	assert.True(t, ok)
}

func TestAHostOnItsOwnUsesEachOfItsSlotsOnce(t *testing.T) {
	for hosts, want := range map[int]int{1: 100, 4: 25, 20: 5} {
		h := New("alone", takeover)
		n := 0
		for i := range 4000 { // 40 s at 2.5 requests a second for all hosts
			now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
			h.SetStanding(now, Standing{Hosts: hosts})
			n += h.permitted(now, 3)
		}
		assert.InDelta(t, want, n, 1, "%d hosts", hosts)
	}
	h := New("alone", takeover)
	h.SetStanding(epoch, Standing{})
	assert.Zero(t, h.permitted(epoch, 10), "the number of hosts is not known")
}

func TestAnEndpointThatAcceptsNothingIsStillTriedRarely(t *testing.T) {
	o := newOwner()
	none := Limit{IsSet: true, ObservedAt: epoch}
	n := 0
	for i := range 1000 { // 100 s
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		o.SetStanding(now, Standing{IsOwner: true, Hosts: 4})
		if _, ok := o.Permit(now, "e", epoch, none, 0); ok {
			n++
		}
	}
	assert.InDelta(t, 10, n, 1)
}
