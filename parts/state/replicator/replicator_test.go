package replicator

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// always treats every record as a change; byFirstByte only one whose first byte differs.
func always(string, []byte, []byte) bool { return true }

func byFirstByte(_ string, old, value []byte) bool { return old[0] != value[0] }

func keys(records []Record) []string {
	var list []string
	for _, r := range records {
		list = append(list, r.Key)
	}
	return list
}

func TestChangesSinceAnOffsetAreReturnedInOrder(t *testing.T) {
	r := New(always)
	_, _, ok := r.ChangesSince(0)
	assert.False(t, ok, "no listing was loaded")
	r.LoadListing([]Record{{Key: "a", Value: []byte("1"), Offset: 3}, {Key: "b", Value: []byte("1"), Offset: 1}}, 4)
	r.Apply([]Record{{Key: "c", Value: []byte("1"), Offset: 4}, {Key: "a", Offset: 5}, {Key: "b", Value: []byte("2"), Offset: 6}}, 9)
	changes, next, ok := r.ChangesSince(4)
	require.True(t, ok)
	assert.Equal(t, []string{"c", "a", "b"}, keys(changes))
	assert.EqualValues(t, 9, next)
	changes, _, _ = r.ChangesSince(6)
	assert.Equal(t, []string{"b"}, keys(changes))
	_, _, ok = r.ChangesSince(3)
	assert.False(t, ok, "removals before the listing are not known")
}

func TestRecordWithoutAChangeIsOmitted(t *testing.T) {
	r := New(byFirstByte)
	r.LoadListing([]Record{{Key: "a", Value: []byte("x1"), Offset: 0}}, 1)
	r.Apply([]Record{{Key: "a", Value: []byte("x2"), Offset: 1}}, 2)
	changes, next, ok := r.ChangesSince(1)
	assert.True(t, ok)
	assert.Empty(t, changes)
	assert.EqualValues(t, 2, next, "the follower continues after the omitted record")
	r.Apply([]Record{{Key: "a", Value: []byte("y2"), Offset: 2}}, 3)
	changes, _, _ = r.ChangesSince(1)
	assert.Len(t, changes, 1)
}

func TestKeyThatWasAddedAgainIsNotReportedAsRemoved(t *testing.T) {
	r := New(always)
	r.LoadListing([]Record{{Key: "a", Value: []byte("1"), Offset: 0}}, 1)
	r.Apply([]Record{{Key: "a", Offset: 1}, {Key: "a", Value: []byte("2"), Offset: 2}}, 3)
	changes, _, _ := r.ChangesSince(1)
	require.Len(t, changes, 1)
	assert.Equal(t, "2", string(changes[0].Value))
}

func TestFollowerBehindTheKeptRemovalsMustReadTheWholeTopic(t *testing.T) {
	r := New(always)
	r.LoadListing(nil, 0)
	for i := range uint64(maxRemovals + 1) {
		key := fmt.Sprint(i)
		r.Apply([]Record{{Key: key, Value: []byte("1"), Offset: 2 * i}, {Key: key, Offset: 2*i + 1}}, 2*i+2)
	}
	_, _, ok := r.ChangesSince(1)
	assert.False(t, ok)
	_, _, ok = r.ChangesSince(2)
	assert.True(t, ok)
}

func TestChangedIsClosedByAChangeAndNotByAHeartbeat(t *testing.T) {
	r := New(byFirstByte)
	r.LoadListing([]Record{{Key: "a", Value: []byte("x1"), Offset: 0}}, 1)
	changed := r.Changed()
	r.Apply([]Record{{Key: "a", Value: []byte("x2"), Offset: 1}}, 2)
	select {
	case <-changed:
		assert.Fail(t, "channel closed without a change")
	default:
	}
	r.Apply([]Record{{Key: "a", Offset: 2}}, 3)
	<-changed
}

// A follower that switches between replicas that are at different offsets of the log ends with the state of the log.
func TestFollowerThatSwitchesReplicasEndsWithTheStateOfTheLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []Record
		replicas := []*Replica{New(always), New(always), New(always)}
		read := make([]int, len(replicas))
		state, from, listed := make(map[string][]byte), uint64(0), false
		apply := func(records []Record) {
			for _, r := range records {
				if state[r.Key] = r.Value; len(r.Value) == 0 {
					delete(state, r.Key)
				}
			}
		}
		newestRecords := func(upto int) []Record {
			newest := make(map[string]Record)
			for _, r := range log[:upto] {
				if newest[r.Key] = r; len(r.Value) == 0 {
					delete(newest, r.Key)
				}
			}
			var list []Record
			for _, r := range newest {
				list = append(list, r)
			}
			return list
		}
		follow := func(i int) {
			r := replicas[i]
			if changes, next, ok := r.ChangesSince(from); ok && listed {
				apply(changes)
				from = next
				return
			}
			if r.IsListed() {
				clear(state)
				records, next := r.All()
				apply(records)
				from, listed = next, true
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(replicas)-1).Draw(t, "replica")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := Record{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Offset: uint64(len(log))}
				if rapid.Bool().Draw(t, "put") {
					r.Value = []byte(fmt.Sprint(len(log)))
				}
				log = append(log, r)
			case 2:
				replicas[i].LoadListing(newestRecords(len(log)), uint64(len(log)))
				read[i] = len(log)
			case 3:
				if replicas[i].IsListed() {
					replicas[i].Apply(log[read[i]:], uint64(len(log)))
					read[i] = len(log)
				}
			case 4:
				follow(i)
			}
		}
		replicas[0].LoadListing(newestRecords(len(log)), uint64(len(log)))
		follow(0)
		follow(0)
		want := make(map[string][]byte)
		for _, r := range newestRecords(len(log)) {
			want[r.Key] = r.Value
		}
		if len(state) != len(want) {
			t.Fatalf("follower has %v, the log %v", state, want)
		}
		for k, v := range want {
			if !bytes.Equal(state[k], v) {
				t.Fatalf("follower has %q for %s, the log %q", state[k], k, v)
			}
		}
	})
}

// A replica may not have a key that its followers have: the key was removed between two pages of a listing, or the replica
// read its addition and removal together.
func TestRemovalOfAnUnknownKeyIsReportedToFollowers(t *testing.T) {
	r := New(always)
	r.LoadListing(nil, 1)
	r.Apply([]Record{{Key: "a", Offset: 1}}, 2)
	changes, _, ok := r.ChangesSince(1)
	require.True(t, ok)
	assert.Equal(t, []string{"a"}, keys(changes))
}

func TestListingIsCompleteOnlyUpToTheEndGivenByItsFirstPage(t *testing.T) {
	r := New(always)
	r.LoadListing([]Record{{Key: "a", Value: []byte("1"), Offset: 7}}, 4)
	_, next := r.All()
	assert.EqualValues(t, 4, next)
}
