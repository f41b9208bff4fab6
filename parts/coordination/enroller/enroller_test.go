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

func ids(r *Registry) []string {
	list := []string{}
	for _, ep := range r.All() {
		list = append(list, ep.ID)
	}
	return list
}

func TestAnOlderAnnouncementChangesNothing(t *testing.T) {
	r := New()
	leaving := endpoint("a", 5)
	leaving.Leaving = true
	assert.True(t, r.Put(leaving, 10))
	assert.False(t, r.Put(endpoint("a", 4), 11), "an old heartbeat that arrives late")
	assert.False(t, r.Put(endpoint("a", 6), 9), "a record at an older offset")
	assert.True(t, r.All()[0].Leaving)
}

func TestANewIncarnationRestartsItsSequence(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 50), 10)
	restarted := endpoint("a", 1)
	restarted.IncarnationStart = epoch.Add(time.Second)
	assert.True(t, r.Put(restarted, 11))
	assert.False(t, r.Put(endpoint("a", 51), 12), "the previous incarnation")
}

func TestAnEntryRemovedWhileTheStoreIsReachableIsDroppedAtOnce(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 1), 1)
	r.Remove(epoch, "a", 2)
	assert.Empty(t, ids(r))
	assert.False(t, r.Put(endpoint("a", 2), 1), "a record from before the removal")
}

func TestAnEntryThatExpiresDuringAnOutageIsKeptForTheGracePeriod(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 1), 1)
	r.Put(endpoint("b", 1), 2)
	r.Lost()
	r.Remove(epoch, "a", 3)
	r.Remove(epoch, "b", 4)
	r.Regained(epoch)
	assert.Equal(t, []string{"a", "b"}, ids(r))
	assert.True(t, r.Put(endpoint("a", 2), 5), "a announces itself again")
	assert.Empty(t, r.Expire(epoch.Add(GracePeriod-time.Millisecond)))
	assert.Equal(t, []string{"b"}, r.Expire(epoch.Add(GracePeriod)))
	assert.Equal(t, []string{"a"}, ids(r))
}

func TestAnEntryRemovedSoonAfterAnOutageIsDroppedAtOnce(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 1), 1)
	r.Lost()
	r.Regained(epoch)
	r.Remove(epoch.Add(time.Second), "a", 2)
	assert.Empty(t, ids(r), "an endpoint that leaves without an announcement")
}

func TestAFullReadDropsMissingEntries(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 1), 1)
	r.Put(endpoint("b", 1), 2)
	r.Retain(epoch, map[string]bool{"b": true}, 9)
	assert.Equal(t, []string{"b"}, ids(r))
}

func TestAnEntryOverwrittenByAnInvalidOneIsRemoved(t *testing.T) {
	r := New()
	r.Put(endpoint("a", 1), 1)
	r.Invalidate("a", 2)
	assert.Empty(t, ids(r))
	assert.True(t, r.Put(endpoint("a", 2), 3))
}

// A store that was restored from an older copy has old entries at new positions.
func TestAStoreRestoredFromAnOlderCopyDoesNotReviveRemovedEndpoints(t *testing.T) {
	returned := func(offset uint64) uint64 { return replicator.Position(1, offset) }
	r := New()
	r.Put(endpoint("gone", 5), 10)
	r.Remove(epoch, "gone", 11)
	leaving := endpoint("leaving", 5)
	leaving.Leaving = true
	r.Put(leaving, 12)

	assert.False(t, r.Put(endpoint("gone", 5), returned(4)))
	assert.False(t, r.Put(endpoint("leaving", 4), returned(5)))
	assert.Equal(t, []string{"leaving"}, ids(r))
	assert.True(t, r.All()[0].Leaving)

	assert.True(t, r.Put(endpoint("gone", 6), returned(6)), "it announces itself again")
	restarted := endpoint("leaving", 1)
	restarted.IncarnationStart = epoch.Add(time.Second)
	assert.True(t, r.Put(restarted, returned(7)))
}
