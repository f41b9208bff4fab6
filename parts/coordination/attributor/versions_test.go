package attributor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
)

var start = time.Unix(1_700_000_000, 0)

func origin(version string) Origin { return Origin{Service: "writer", Version: version} }

func apply(vs *Versions, now time.Time, r Record, position uint64) {
	vs.Apply(now, r.Key(), &r, position)
}

// listed returns Versions with the given versions recorded at the positions 1 and up, and a completion at 0.
func listed(versions ...string) *Versions {
	vs := NewVersions()
	vs.Listed(start, nil, 0)
	apply(vs, start, Record{}, 0)
	for i, v := range versions {
		apply(vs, start, Record{Origin: origin(v)}, uint64(i+1))
	}
	return vs
}

func TestAStreamOfUnknownOriginIsOfTheOnlyVersionOnlyIfTheLogHoldsAllVersions(t *testing.T) {
	version, ok := listed("v1").Single("writer")
	assert.True(t, ok)
	assert.Equal(t, "v1", version)
	_, ok = listed("v1", "v2").Single("writer")
	assert.False(t, ok, "two versions")
	_, ok = listed().Single("writer")
	assert.False(t, ok, "no version")
	_, ok = listed("v1").Single("another")
	assert.False(t, ok, "another service")

	incomplete := NewVersions()
	apply(incomplete, start, Record{Origin: origin("v1")}, 1)
	incomplete.Listed(start, map[string]bool{Record{Origin: origin("v1")}.Key(): true}, 2)
	_, ok = incomplete.Single("writer")
	assert.False(t, ok, "without a completion")

	unread := NewVersions()
	apply(unread, start, Record{}, 0)
	apply(unread, start, Record{Origin: origin("v1")}, 1)
	_, ok = unread.Single("writer")
	assert.False(t, ok, "before the topic was listed")

	unreadable := listed("v1")
	unreadable.Apply(start, "writer/odd", &Record{Origin: origin("writer/odd"), State: Unreadable}, 5)
	_, ok = unreadable.Single("writer")
	assert.False(t, ok, "with a record that cannot be read")
}

func TestALogRestoredFromAnOlderCopyProvesNoSingleVersion(t *testing.T) {
	vs := listed("v1", "v2")
	position := replicator.Position(1, 1)
	apply(vs, start, Record{}, replicator.Position(1, 0))
	apply(vs, start, Record{Origin: origin("v1")}, position)
	vs.Listed(start, map[string]bool{"complete": true, Record{Origin: origin("v1")}.Key(): true}, position+1)
	_, ok := vs.Single("writer")
	assert.False(t, ok)
	assert.Equal(t, []string{"v1", "v2"}, vs.Possible("writer"), "a lost version may still have streams")
	assert.False(t, vs.Admits(start, origin("v2"), true), "a lost version is recorded again first")
	assert.True(t, vs.Admits(start, origin("v1"), true))

	fresh := NewVersions()
	apply(fresh, start, Record{}, replicator.Position(1, 0))
	apply(fresh, start, Record{Origin: origin("v1")}, position)
	fresh.Listed(start, map[string]bool{"complete": true, Record{Origin: origin("v1")}.Key(): true}, position+1)
	_, ok = fresh.Single("writer")
	assert.False(t, ok, "a host that started after the restore cannot know what was lost")
	plan := PlanOptions{MayRetire: true}
	assert.Empty(t, fresh.Plan(start.Add(retention-1), map[Origin]bool{origin("v1"): true}, plan))
	assert.Equal(t, []Change{{Record: Record{Era: 1}}}, fresh.Plan(start.Add(retention), map[Origin]bool{origin("v1"): true}, plan))
}

func TestStreamsBeginOnlyAtRecordedVersions(t *testing.T) {
	vs := listed("v1")
	assert.True(t, vs.Admits(start, origin("v1"), false))
	assert.False(t, vs.Admits(start, origin("v2"), true))
	assert.False(t, vs.Admits(start, origin(""), true))
	assert.Equal(t, []Change{{Record: Record{Origin: origin("v2")}}}, vs.Plan(start, map[Origin]bool{origin("v1"): true, origin("v2"): true}, PlanOptions{}))
	apply(vs, start, Record{Origin: origin("v2")}, 7)
	assert.True(t, vs.Admits(start, origin("v2"), true))
	apply(vs, start, Record{Origin: origin("v2"), State: Retiring}, 8)
	assert.False(t, vs.Admits(start, origin("v2"), true))
}

func TestAHostThatCannotConfirmItsRecordsBeginsStreamsOnlyWithAMajority(t *testing.T) {
	vs := listed("v1")
	late := start.Add(ConfirmationLifetime + 1)
	assert.False(t, vs.Admits(late, origin("v1"), false))
	assert.True(t, vs.Admits(late, origin("v1"), true))
	vs.Confirm(late)
	assert.True(t, vs.Admits(late, origin("v1"), false))
}

func TestAVersionIsRemovedOnlyOnceNoStreamOfItCanBeResumed(t *testing.T) {
	vs := listed("v1", "v2")
	plan := PlanOptions{MayRetire: true}
	only := map[Origin]bool{origin("v2"): true}
	assert.Empty(t, vs.Plan(start.Add(retirementDelay-1), only, plan))
	assert.Empty(t, vs.Plan(start.Add(retirementDelay), only, PlanOptions{}), "a host that may not retire versions")
	begin := start.Add(retirementDelay)
	require.Equal(t, []Change{{Record: Record{Origin: origin("v1"), State: Retiring}}}, vs.Plan(begin, only, plan))
	apply(vs, begin, Record{Origin: origin("v1"), State: Retiring}, 9)
	assert.Equal(t, []string{"v1", "v2"}, vs.Possible("writer"))
	assert.Empty(t, vs.Plan(begin.Add(retention-1), only, plan))
	want := Change{Record: Record{Origin: origin("v1"), State: Retiring}, IsRemoval: true, IsConditional: true, End: 10}
	assert.Equal(t, []Change{want}, vs.Plan(begin.Add(retention), only, plan))
	vs.Apply(begin.Add(retention), Record{Origin: origin("v1")}.Key(), nil, 10)
	version, ok := vs.Single("writer")
	assert.True(t, ok)
	assert.Equal(t, "v2", version)
}

func TestAVersionThatReturnsDuringItsRetirementIsRecordedAgain(t *testing.T) {
	vs := listed("v1", "v2")
	apply(vs, start, Record{Origin: origin("v1"), State: Retiring}, 9)
	both := map[Origin]bool{origin("v1"): true, origin("v2"): true}
	assert.Equal(t, []Change{{Record: Record{Origin: origin("v1")}}}, vs.Plan(start.Add(retention), both, PlanOptions{MayRetire: true}))
}

func TestTheFirstRecordIsWrittenOnlyAtTheFirstStart(t *testing.T) {
	vs := NewVersions()
	assert.Empty(t, vs.Plan(start, map[Origin]bool{origin("v1"): true}, PlanOptions{IsFirstStart: true}), "before the topic was listed")
	vs.Listed(start, nil, 0)
	assert.Equal(t, []Change{{IsConditional: true}}, vs.Plan(start, map[Origin]bool{origin("v1"): true}, PlanOptions{IsFirstStart: true}))
	assert.Equal(t, []Change{{Record: Record{Origin: origin("v1")}}}, vs.Plan(start, map[Origin]bool{origin("v1"): true}, PlanOptions{}))
}

func TestRecordsAndListingsOlderThanWhatIsKnownAreIgnored(t *testing.T) {
	vs := listed("v1", "v2")
	vs.Listed(start, map[string]bool{"complete": true}, 1) // from a source that lags behind
	assert.Equal(t, []string{"v1", "v2"}, vs.Possible("writer"))
	vs.Apply(start, Record{Origin: origin("v2")}.Key(), nil, 5)
	apply(vs, start, Record{Origin: origin("v2")}, 2)
	assert.Equal(t, []string{"v1"}, vs.Possible("writer"))
	vs.Listed(start, map[string]bool{"complete": true}, 6)
	assert.Empty(t, vs.Possible("writer"), "a missing version was removed")
}

func TestTheKeysOfDifferentVersionsDiffer(t *testing.T) {
	a, b := Record{Origin: Origin{Service: "a/b", Version: "c"}}, Record{Origin: Origin{Service: "a", Version: "b/c"}}
	assert.NotEqual(t, a.Key(), b.Key())
}
