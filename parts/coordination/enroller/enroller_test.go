package enroller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
)

var epoch = time.Unix(1_000_000, 0)

func endpoint(id string, sequence int64) Endpoint {
	return Endpoint{ID: id, Service: "desk", Sequence: sequence, IncarnationStart: epoch}
}

func ids(e *Registry) []string {
	list := []string{}
	for _, ep := range e.All() {
		list = append(list, ep.ID)
	}
	return list
}

func TestAnOlderAnnouncementChangesNothing(t *testing.T) {
	e := New()
	leaving := endpoint("a", 5)
	leaving.Leaving = true
	assert.True(t, e.Put(leaving, 10))
	assert.False(t, e.Put(endpoint("a", 4), 11), "an old heartbeat that arrives late")
	assert.False(t, e.Put(endpoint("a", 6), 9), "a record at an older offset")
	assert.True(t, e.All()[0].Leaving)
}

func TestANewIncarnationRestartsItsSequence(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 50), 10)
	restarted := endpoint("a", 1)
	restarted.IncarnationStart = epoch.Add(time.Second)
	assert.True(t, e.Put(restarted, 11))
	assert.False(t, e.Put(endpoint("a", 51), 12), "the previous incarnation")
}

func TestAnEntryRemovedWhileTheStoreIsReachableIsDroppedAtOnce(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 1), 1)
	e.Remove(epoch, "a", 2)
	assert.Empty(t, ids(e))
	assert.False(t, e.Put(endpoint("a", 2), 1), "a record from before the removal")
}

func TestAnEntryThatExpiresDuringAnOutageIsKeptForTheGracePeriod(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 1), 1)
	e.Put(endpoint("b", 1), 2)
	e.Lost()
	e.Remove(epoch, "a", 3)
	e.Remove(epoch, "b", 4)
	e.Regained(epoch)
	assert.Equal(t, []string{"a", "b"}, ids(e))
	assert.True(t, e.Put(endpoint("a", 2), 5), "a announces itself again")
	assert.Empty(t, e.Expire(epoch.Add(GracePeriod-time.Millisecond)))
	assert.Equal(t, []string{"b"}, e.Expire(epoch.Add(GracePeriod)))
	assert.Equal(t, []string{"a"}, ids(e))
}

func TestAnEntryRemovedSoonAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 1), 1)
	e.Lost()
	e.Regained(epoch)
	e.Remove(epoch.Add(time.Second), "a", 2)
	assert.Empty(t, ids(e), "an endpoint that leaves without an announcement")
}

func TestAFullReadDropsMissingEntries(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 1), 1)
	e.Put(endpoint("b", 1), 2)
	e.Retain(epoch, map[string]bool{"b": true}, 9)
	assert.Equal(t, []string{"b"}, ids(e))
}

func TestAnEntryOverwrittenByAnInvalidOneIsRemoved(t *testing.T) {
	e := New()
	e.Put(endpoint("a", 1), 1)
	e.Invalidate("a", 2)
	assert.Empty(t, ids(e))
	assert.True(t, e.Put(endpoint("a", 2), 3))
}

// A store that was restored from an older copy has old entries at new positions.
func TestAStoreRestoredFromAnOlderCopyDoesNotReviveRemovedEndpoints(t *testing.T) {
	returned := func(offset uint64) uint64 { return replicator.Position(1, offset) }
	e := New()
	e.Put(endpoint("gone", 5), 10)
	e.Remove(epoch, "gone", 11)
	leaving := endpoint("leaving", 5)
	leaving.Leaving = true
	e.Put(leaving, 12)

	assert.False(t, e.Put(endpoint("gone", 5), returned(4)))
	assert.False(t, e.Put(endpoint("leaving", 4), returned(5)))
	assert.Equal(t, []string{"leaving"}, ids(e))
	assert.True(t, e.All()[0].Leaving)

	assert.True(t, e.Put(endpoint("gone", 6), returned(6)), "it announces itself again")
	restarted := endpoint("leaving", 1)
	restarted.IncarnationStart = epoch.Add(time.Second)
	assert.True(t, e.Put(restarted, returned(7)))
}
