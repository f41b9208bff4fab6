package registrar

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/parts/state/replicator"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	// checkInterval is the time between checks for new versions and new owners.
	checkInterval = 100 * time.Millisecond
	// reportInterval is the shortest time between two reports to owners.
	reportInterval = 10 * time.Millisecond
	// storeInterval is the shortest time between two writes of origins. What began since the last one is lost if all hosts lose
	// power.
	storeInterval = 100 * time.Millisecond
	// storeDelay is the time in which origins are collected for one write.
	storeDelay = 10 * time.Millisecond
	// writeTimeout bounds one write to the log.
	writeTimeout = 2 * time.Second
	// reportTimeout bounds one report to an owner.
	reportTimeout = 250 * time.Millisecond
	// takeoverDelay is how long a host that is not the owner of a service leaves a new version to the owner.
	takeoverDelay = time.Second
	// startDelay is how long a host finds other hosts before it writes versions.
	startDelay = 200 * time.Millisecond
	// maxBatch is the number of streams in one record.
	maxBatch = 8192
)

// Run writes versions and origins until ctx is done.
func (r *Registrar) Run(ctx context.Context) {
	defer close(r.done)
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){r.runVersions, r.runReports, r.runStore} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

func (r *Registrar) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-r.Clock.After(d):
		return true
	}
}

// Record applies a record of the topic of versions.
func (r *Registrar) Record(rec tailer.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	if len(rec.Value) == 0 {
		r.versions.Apply(now, rec.Key, nil, rec.Offset)
		return
	}
	decoded, err := encoder.AttributorRecord(rec.Value)
	if err != nil {
		eventlogger.Warn(r.Logs, eventlogger.RecordInvalid, "offset", rec.Offset, "key", rec.Key, "error", err.Error())
		decoded = attributor.Record{Origin: attributor.Origin{Service: rec.Key}, State: attributor.Unreadable}
	}
	r.versions.Apply(now, rec.Key, &decoded, rec.Offset)
}

// Listed handles a complete listing of the topic of versions.
func (r *Registrar) Listed(keys map[string]bool, end uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.Listed(r.Clock.Now(), keys, end)
}

// Lost is called when the topic of versions cannot be read.
func (r *Registrar) Lost(error) {}

// Regained is called after each read of the topic of versions.
func (r *Registrar) Regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.Confirm(r.Clock.Now())
}

// runVersions records the versions of endpoints in the log.
func (r *Registrar) runVersions(ctx context.Context) {
	if !r.sleep(ctx, startDelay) {
		return
	}
	missingSince := make(map[attributor.Origin]time.Time)
	for {
		for _, c := range r.planVersions(missingSince) {
			r.writeVersion(ctx, c)
		}
		if !r.sleep(ctx, checkInterval) {
			return
		}
	}
}

// planVersions returns the changes that this host writes: those of the services that it owns, and the new versions that their
// owner has not recorded. missingSince tells since when.
func (r *Registrar) planVersions(missingSince map[attributor.Origin]time.Time) []attributor.Change {
	owned := make(map[string]bool)
	listed := make(map[attributor.Origin]bool)
	for _, service := range r.Services() {
		_, owned[service] = permitter.Owner(r.Hosts, service)
		for _, e := range r.Endpoints.Service(service) {
			if e.Version != "" {
				listed[attributor.Origin{Service: service, Version: e.Version}] = true
			}
		}
	}
	ownsAny := slices.Contains(slices.Collect(maps.Values(owned)), true)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	options := attributor.PlanOptions{IsFirstStart: r.IsFirstStart && ownsAny, MayRetire: ownsAny && r.Hosts.HasMajority()}
	changes := r.versions.Plan(now, listed, options)
	maps.DeleteFunc(missingSince, func(o attributor.Origin, _ time.Time) bool {
		return !slices.ContainsFunc(changes, func(c attributor.Change) bool { return c.Origin == o })
	})
	return slices.DeleteFunc(changes, func(c attributor.Change) bool {
		if c.IsCompletion() || owned[c.Origin.Service] {
			return false
		}
		since, ok := missingSince[c.Origin]
		if !ok {
			since = now
			missingSince[c.Origin] = now
		}
		return c.State != attributor.Admitted || now.Sub(since) < takeoverDelay
	})
}

// writeVersion writes one change and applies it.
func (r *Registrar) writeVersion(ctx context.Context, c attributor.Change) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var value []byte
	var err error
	if !c.IsRemoval {
		if value, err = encoder.VersionRecord(c.Record); err != nil {
			eventlogger.Warn(r.Logs, eventlogger.VersionRecorded, "service", c.Origin.Service, "version", c.Origin.Version, "error", err.Error())
			return
		}
	}
	var end *uint64
	if c.IsConditional {
		end = &c.End
	}
	key := c.Key()
	position, err := r.Store.Put(ctx, r.VersionTopic, key, value, end)
	if err != nil {
		eventlogger.Warn(r.Logs, eventlogger.VersionRecorded, "service", c.Origin.Service, "version", c.Origin.Version, "error", err.Error())
		r.sleep(ctx, takeoverDelay) // the topic may have changed, or the log may be unreachable
		return
	}
	r.Record(tailer.Record{Key: key, Value: value, Offset: position})
	eventlogger.Info(r.Logs, eventlogger.VersionRecorded, "service", c.Origin.Service, "version", c.Origin.Version,
		"state", int(c.State), "removed", c.IsRemoval, "offset", position)
}

// runReports sends the origins of streams to the owners of their services.
func (r *Registrar) runReports(ctx context.Context) {
	for {
		r.checkServices()
		r.report(ctx)
		if !r.sleep(ctx, reportInterval) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-r.hasUnreported:
		case <-r.Clock.After(checkInterval):
		}
	}
}

// checkServices has the origins of all streams of a service reported again when its owner changes, when streams of it begin to
// have several origins, and when the log has lost records.
func (r *Registrar) checkServices() {
	for _, service := range r.Services() {
		owner, _ := permitter.Owner(r.Hosts, service)
		r.mu.Lock()
		last := r.services[service]
		if last == nil {
			last = &serviceState{}
			r.services[service] = last
		}
		state := serviceState{owner: owner.Name, ownerIncarnation: owner.Incarnation, isMixed: r.isMixed(service), era: replicator.Era(r.versions.End())}
		if state.isMixed && state != *last {
			for _, k := range r.ledger.Keys(r.Clock.Now(), service) {
				r.unreported[k] = true
			}
		}
		*last = state
		r.mu.Unlock()
	}
}

// report sends what is unreported. What an owner does not take is written to the log by this host.
func (r *Registrar) report(ctx context.Context) {
	for service, streams := range r.takeUnreported() {
		owner, isOwn := permitter.Owner(r.Hosts, service)
		if !isOwn {
			bounded, cancel := context.WithTimeout(ctx, reportTimeout)
			err := messenger.Notify(bounded, r.Messenger, owner.Address, kindOrigins, encoder.Origins(streams))
			cancel()
			if err == nil {
				continue
			}
		}
		r.addAllUnstored(streams)
	}
}

// takeUnreported returns the unreported origins by service, and marks them as reported.
func (r *Registrar) takeUnreported() map[string]map[attributor.Origin][]attributor.Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := make(map[string]map[attributor.Origin][]attributor.Key)
	for k := range r.unreported {
		for _, o := range r.ledger.Origins(k) {
			if taken[o.Service] == nil {
				taken[o.Service] = make(map[attributor.Origin][]attributor.Key)
			}
			taken[o.Service][o] = append(taken[o.Service][o], k)
		}
	}
	clear(r.unreported)
	return taken
}

func (r *Registrar) handleOrigins(_ context.Context, w wire.StreamOrigins) (wire.Empty, error) {
	streams, err := encoder.AttributorOrigins(w)
	if err != nil {
		return wire.Empty{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for o, keys := range streams {
		for _, k := range keys {
			if r.ledger.Add(r.Clock.Now(), k, o) {
				r.addUnstored(k)
			}
		}
	}
	return wire.Empty{}, nil
}

// runStore writes the origins of streams to the log, the first ones after a pause at once.
func (r *Registrar) runStore(ctx context.Context) {
	var lastWrite time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hasUnstored:
		}
		if !r.sleep(ctx, max(storeDelay, storeInterval-r.Clock.Since(lastWrite))) {
			return
		}
		lastWrite = r.Clock.Now()
		if err := r.store(ctx); err != nil && ctx.Err() == nil {
			eventlogger.Warn(r.Logs, eventlogger.OriginsNotStored, "error", err.Error())
			r.sleep(ctx, takeoverDelay)
		}
	}
}

func (r *Registrar) store(ctx context.Context) error {
	streams := r.takeUnstored()
	if len(streams) == 0 {
		return nil
	}
	value, err := encoder.Encode(encoder.Origins(streams))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err = r.Store.Put(ctx, r.OriginTopic, "", value, nil); err == nil {
		return nil
	}
	r.addAllUnstored(streams)
	return err
}

// addAllUnstored marks streams whose origins are to be written to the log.
func (r *Registrar) addAllUnstored(streams map[attributor.Origin][]attributor.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, keys := range streams {
		for _, k := range keys {
			r.addUnstored(k)
		}
	}
}

// takeUnstored returns origins that are not in the log, and marks them as stored.
func (r *Registrar) takeUnstored() map[attributor.Origin][]attributor.Key {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := make(map[attributor.Origin][]attributor.Key)
	n := 0
	for k := range r.unstored {
		if n++; n > maxBatch {
			signal(r.hasUnstored)
			break
		}
		for _, o := range r.ledger.Origins(k) {
			taken[o] = append(taken[o], k)
		}
		delete(r.unstored, k)
	}
	return taken
}
