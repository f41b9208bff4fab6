// Package attributor decides at which software version of a service's endpoints an interrupted stream may be resumed.
//
// Endpoints of one service may run several versions of their software, and what two of them write does not fit together. A
// stream may be resumed only at the version that began it. Two facts tell which one that was, and both outlast all hosts:
//
//   - Versions: a version is recorded in the log before any host begins streams at it. If only one has been recorded, it began
//     every stream, and nothing has to be kept for each one.
//   - Ledger: while several versions are recorded, the origin of each stream is kept.
//
// A version that is merely the only one in sight proves nothing. A stream whose origin is not known is not resumed.
package attributor

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
)

const (
	// MaxStreamLifetime is the longest time from the first event of a stream to its last resumption.
	MaxStreamLifetime = 5 * time.Minute
	// FinalRetryAfter is the Retry-After of a stream that cannot be resumed any more, which no retry changes.
	FinalRetryAfter = time.Minute
	// ConfirmationLifetime is how long a host may begin streams by records that it could not confirm.
	ConfirmationLifetime = 5 * time.Minute
	// retirementDelay is how long no endpoint may announce a version before its retirement begins.
	retirementDelay = time.Minute
	// retention is how long after the begin of its retirement a version may still have streams: a host that did not learn of the
	// retirement may begin them until ConfirmationLifetime has passed.
	retention = ConfirmationLifetime + MaxStreamLifetime
)

// Origin is the software version that began a stream.
type Origin struct {
	Service string
	Version string
}

// State is the state of a version in the log.
type State int

// The states of a version. In all of them it may have begun streams that can be resumed.
const (
	// Admitted means that hosts may begin streams at the version.
	Admitted State = iota
	// Retiring means that hosts must not begin streams at it any more.
	Retiring
	// Unreadable means that the record names no version. While there is one, nothing is known of any other.
	Unreadable
	// lost means that the log has lost the record.
	lost
)

// Record is a record of the log. A record without an origin states that the log has held every version at which a stream may have
// begun since Era.
type Record struct {
	Origin Origin
	State  State
	Era    uint64
}

type version struct {
	Record
	position  uint64
	isRemoved bool
	// since is when the present state was first observed.
	since time.Time
	// lastListed is when an endpoint last announced the version.
	lastListed time.Time
}

// Versions holds the versions of all services as recorded in the log. It is not safe for concurrent use.
type Versions struct {
	byKey    map[string]*version
	isListed bool
	// end is the highest known end of the topic, which includes the era, and eraSince when that era was first observed.
	end      uint64
	eraSince time.Time
	// confirmedAt is when the topic was last read.
	confirmedAt time.Time
}

// NewVersions returns Versions that know nothing of the log.
func NewVersions() *Versions { return &Versions{byKey: make(map[string]*version)} }

// completeKey is the key of the record that states that the versions are complete.
const completeKey = "complete"

// Key returns the key of a record in the log. It is a hash, as names can be longer than a key.
func (r Record) Key() string {
	if r.IsCompletion() {
		return completeKey
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s%s", len(r.Origin.Service), r.Origin.Service, r.Origin.Version))
	return hex.EncodeToString(sum[:])
}

// IsCompletion reports whether the record states that the versions are complete.
func (r Record) IsCompletion() bool { return r.Origin == Origin{} }

// Apply applies the record of a key at a position of the log; nil removes it. Records that are older than what is known are
// ignored.
func (vs *Versions) Apply(now time.Time, key string, r *Record, position uint64) {
	vs.observeEnd(now, position+1)
	old := vs.byKey[key]
	if old != nil && position < old.position {
		return
	}
	next := &version{position: position, since: now, lastListed: now, isRemoved: r == nil}
	if r != nil {
		next.Record = *r
	}
	if old != nil {
		next.lastListed = old.lastListed
		if old.Record == next.Record && old.isRemoved == next.isRemoved && replicator.Era(old.position) == replicator.Era(position) {
			next.since = old.since
		}
	}
	vs.byKey[key] = next
}

func (vs *Versions) observeEnd(now time.Time, end uint64) {
	if vs.eraSince.IsZero() || replicator.Era(end) > replicator.Era(vs.end) {
		vs.eraSince = now
	}
	vs.end = max(vs.end, end)
}

// Listed handles the end of a complete listing. A version that is missing was removed, unless the log has been restored from an
// older copy: then it is lost, and may still have streams.
func (vs *Versions) Listed(now time.Time, keys map[string]bool, end uint64) {
	vs.observeEnd(now, end)
	vs.isListed = true
	vs.confirmedAt = now
	for key, v := range vs.byKey {
		switch {
		case keys[key] || v.isRemoved || v.position >= end:
		case replicator.Era(v.position) < replicator.Era(end):
			v.State = lost
		default:
			v.isRemoved, v.position = true, end
		}
	}
}

// Confirm records that the topic was read at now.
func (vs *Versions) Confirm(now time.Time) { vs.confirmedAt = now }

// IsListed reports whether the topic has been read.
func (vs *Versions) IsListed() bool { return vs.isListed }

// End returns the position after the last known record.
func (vs *Versions) End() uint64 { return vs.end }

// Admits reports whether a host may begin streams at a version. A host that could not confirm its records for a long time may do
// so only if it has a majority: else others may have retired the version meanwhile.
func (vs *Versions) Admits(now time.Time, o Origin, hasMajority bool) bool {
	if !vs.isListed || !hasMajority && now.Sub(vs.confirmedAt) > ConfirmationLifetime {
		return false
	}
	v := vs.find(o)
	return v != nil && v.State == Admitted
}

func (vs *Versions) find(o Origin) *version {
	for _, v := range vs.byKey {
		if !v.isRemoved && v.Origin == o {
			return v
		}
	}
	return nil
}

// Possible returns the versions of a service that may have begun a stream, in their order.
func (vs *Versions) Possible(service string) []string {
	var names []string
	for _, v := range vs.byKey {
		if !v.isRemoved && !v.IsCompletion() && v.Origin.Service == service {
			names = append(names, v.Origin.Version)
		}
	}
	slices.Sort(names)
	return names
}

// Single returns the only version of a service that can have begun a stream. It returns false if there may be others.
func (vs *Versions) Single(service string) (string, bool) {
	names := vs.Possible(service)
	if !vs.isComplete() || len(names) != 1 {
		return "", false
	}
	return names[0], true
}

// isComplete reports whether the log holds all versions at which a stream may have begun.
func (vs *Versions) isComplete() bool {
	for _, v := range vs.byKey {
		if v.State == Unreadable && !v.isRemoved {
			return false
		}
	}
	v := vs.byKey[completeKey]
	return vs.isListed && v != nil && !v.isRemoved && v.State != lost && v.Era == replicator.Era(vs.end)
}

// Change is a record to be written. With IsRemoval the record of the key is removed.
type Change struct {
	Record
	IsRemoval bool
	// IsConditional is set if the record must be written only while the topic ends at End.
	IsConditional bool
	End           uint64
}

// PlanOptions describe the host that plans changes.
type PlanOptions struct {
	// IsFirstStart is set if no host of the system can have begun a stream before the topic's first record.
	IsFirstStart bool
	// MayRetire is set for the host that retires versions.
	MayRetire bool
}

// Plan returns the changes to be written, given the versions that endpoints announce at present.
func (vs *Versions) Plan(now time.Time, listed map[Origin]bool, o PlanOptions) []Change {
	if !vs.isListed {
		return nil
	}
	if o.IsFirstStart && replicator.Offset(vs.end) == 0 {
		return []Change{{Record: Record{Era: replicator.Era(vs.end)}, IsConditional: true, End: vs.end}}
	}
	var changes []Change
	for origin := range listed {
		v := vs.find(origin)
		if v == nil || v.State != Admitted {
			changes = append(changes, Change{Record: Record{Origin: origin, State: Admitted}})
		}
		if v != nil {
			v.lastListed = now
		}
	}
	if !o.MayRetire {
		return changes
	}
	return append(changes, vs.planRetirements(now, listed)...)
}

func (vs *Versions) planRetirements(now time.Time, listed map[Origin]bool) []Change {
	var changes []Change
	if !vs.isComplete() && now.Sub(vs.eraSince) >= retention {
		changes = append(changes, Change{Record: Record{Era: replicator.Era(vs.end)}})
	}
	for _, key := range slices.Sorted(maps.Keys(vs.byKey)) {
		v := vs.byKey[key]
		if v.isRemoved || v.IsCompletion() || listed[v.Origin] {
			continue
		}
		switch {
		case v.State == Retiring && now.Sub(v.since) >= retention:
			// Not removed if another host has written meanwhile, which may have admitted the version again.
			changes = append(changes, Change{Record: v.Record, IsRemoval: true, IsConditional: true, End: vs.end})
		case v.State != Retiring && now.Sub(v.lastListed) >= retirementDelay:
			changes = append(changes, Change{Record: Record{Origin: v.Origin, State: Retiring}})
		}
	}
	return changes
}
