package registrar

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/attributor"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/endpoints/permitter"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/tailer"
)

const (
	// ownerTimeout bounds a request to the owner of a service, which may read the log.
	ownerTimeout = 300 * time.Millisecond
	// readTimeout bounds the reads of the log for one stream.
	readTimeout = 500 * time.Millisecond
	// maxReads bounds the reads of the topic of origins one after another; each returns up to a megabyte.
	maxReads = 16
)

// Resolve returns the origin of a stream of one of some services. The key is 0 if the caller did not name the request that began
// it. The error is an *UnknownOriginError.
//
// A host that reaches neither the log nor most other hosts resumes no stream: engines may have returned under their IDs with another
// version. What is remembered comes next. Without memory of the stream, only what the log holds after the call tells its origin, as
// copies may be older than the stream.
func (r *Registrar) Resolve(ctx context.Context, services []string, k attributor.Key) (attributor.Origin, error) {
	if !r.MayResume() {
		r.unknown.Inc(1)
		return attributor.Origin{}, &UnknownOriginError{Reason: "this host reaches neither the log nor most other hosts", RetryAfter: unknownRetryAfter}
	}
	if o, ok := r.findOne(services, k); ok {
		return o, nil
	}
	if r.isDoubtful(k) {
		return attributor.Origin{}, r.unknownOrigin(nil)
	}
	for _, service := range services {
		owner, isOwn := permitter.Owner(r.Hosts, service)
		if isOwn {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, ownerTimeout)
		request := wire.OriginRequest{Services: services, Key: uint64(k)}
		answer, err := messenger.Call[wire.OriginRequest, wire.OriginResponse](bounded, r.Messenger, owner.Address, kindOrigin, request)
		cancel()
		if err == nil && answer.Service != "" {
			return attributor.Origin{Service: answer.Service, Version: answer.Version}, nil
		}
		if err == nil && answer.IsFresh && len(services) == 1 {
			return attributor.Origin{}, r.unknownOrigin(nil)
		}
	}
	o, ok, err := r.resolve(ctx, services, k)
	if ok {
		return o, nil
	}
	return attributor.Origin{}, r.unknownOrigin(err)
}

// MayResume reports whether this host can know the software versions of engines, from the log or from other hosts.
func (r *Registrar) MayResume() bool { return r.Endpoints.LostFor() == 0 || r.Hosts.HasMajority() }

// unknownOrigin returns the error for a stream of unknown origin. err is why the log could not be read, nil if it was.
func (r *Registrar) unknownOrigin(err error) *UnknownOriginError {
	r.unknown.Inc(1)
	if err != nil {
		return &UnknownOriginError{Reason: "the version that began it is not known at present: " + err.Error(), RetryAfter: unknownRetryAfter}
	}
	return &UnknownOriginError{Reason: "the version that began it is not known", RetryAfter: attributor.FinalRetryAfter}
}

// findOne returns the origin in memory, if it is one of some services.
func (r *Registrar) findOne(services []string, k attributor.Key) (attributor.Origin, bool) {
	if k == 0 {
		return attributor.Origin{}, false
	}
	if o, ok := r.find(k); ok && slices.Contains(services, o.Service) {
		return o, true
	}
	return attributor.Origin{}, false
}

func (r *Registrar) isDoubtful(k attributor.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.IsDoubtful(k)
}

// resolve reads the log for the origin of a stream. It returns false without an error if the log does not tell it.
func (r *Registrar) resolve(ctx context.Context, services []string, k attributor.Key) (attributor.Origin, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := r.versionReads.do(ctx, r.readVersions); err != nil {
		return attributor.Origin{}, false, err
	}
	if r.isDoubtful(k) {
		return attributor.Origin{}, false, nil
	}
	if len(services) == 1 {
		r.mu.Lock()
		version, ok := r.versions.Single(services[0])
		r.mu.Unlock()
		if ok {
			return attributor.Origin{Service: services[0], Version: version}, true, nil
		}
	}
	if k == 0 {
		return attributor.Origin{}, false, nil
	}
	if err := r.originReads.do(ctx, r.readOrigins); err != nil {
		return attributor.Origin{}, false, err
	}
	o, ok := r.findOne(services, k)
	return o, ok, nil
}

func (r *Registrar) handleOrigin(ctx context.Context, w wire.OriginRequest) (wire.OriginResponse, error) {
	k := attributor.Key(w.Key)
	if o, ok := r.findOne(w.Services, k); ok {
		return wire.OriginResponse{Service: o.Service, Version: o.Version}, nil
	}
	o, ok, err := r.resolve(ctx, w.Services, k)
	if ok {
		return wire.OriginResponse{Service: o.Service, Version: o.Version, IsFresh: true}, nil
	}
	return wire.OriginResponse{IsFresh: err == nil}, nil
}

// readVersions reads the topic of versions from the log itself.
func (r *Registrar) readVersions() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r.mu.Lock()
	isListed, from := r.versions.IsListed(), r.versions.End()
	r.mu.Unlock()
	if isListed {
		records, _, err := r.Store.Read(ctx, r.VersionTopic, from, 0)
		var expired *tailer.ExpiredError
		if !errors.As(err, &expired) {
			for _, rec := range records {
				r.Record(rec)
			}
			return err
		}
	}
	keys := make(map[string]bool)
	end, err := tailer.List(ctx, r.Store, r.VersionTopic, func(rec tailer.Record) {
		keys[rec.Key] = true
		r.Record(rec)
	})
	if err != nil {
		return err
	}
	r.Listed(keys, end)
	return nil
}

// readOrigins reads what was added to the topic of origins.
func (r *Registrar) readOrigins() error {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	for range maxReads {
		r.mu.Lock()
		from := r.originEnd
		r.mu.Unlock()
		records, next, err := r.Store.Read(ctx, r.OriginTopic, from, 0)
		var expired *tailer.ExpiredError
		if errors.As(err, &expired) && expired.First != from {
			r.mu.Lock()
			r.originEnd = expired.First
			r.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		r.applyOrigins(records, next)
		if len(records) == 0 {
			return nil
		}
	}
	return nil
}

func (r *Registrar) applyOrigins(records []tailer.Record, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.originEnd = next
	for _, rec := range records {
		streams, err := decodeOrigins(rec.Value)
		if err != nil {
			continue // its streams have no known origin
		}
		for o, keys := range streams {
			for _, k := range keys {
				r.ledger.Add(now, k, o)
			}
		}
	}
}

func decodeOrigins(data []byte) (map[attributor.Origin][]attributor.Key, error) {
	w, err := encoder.Decode[wire.StreamOrigins](data)
	if err != nil {
		return nil, err
	}
	return encoder.AttributorOrigins(w)
}
