package executor

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/protocol/encoder"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
	"github.com/hornbeamspan/hornbeamspan/transport/store/registrar"
)

// The kinds of messages to the home of a key.
const (
	kindClaim   = "claim"
	kindFinish  = "finish"
	kindRelease = "release"
	kindJoin    = "join"
)

// claim asks the home of key for a verdict. Any error but a *registrar.NotClaimedError leaves the claim possible.
func (x *Executor) claim(ctx context.Context, home netip.AddrPort, own bool, id claimer.ID, key, fingerprint claimer.Digest) (claimer.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimTimeout)
	defer cancel()
	if own {
		return x.registrar.Claim(ctx, id, key, fingerprint)
	}
	ask := wire.ClaimRequest{ID: encoder.ClaimID(id), Key: key[:], Print: fingerprint[:]}
	answer, err := messenger.Call[wire.ClaimRequest, wire.ClaimResponse](ctx, x.messenger, home, kindClaim, ask)
	if err != nil {
		return claimer.Outcome{}, err
	}
	return verdict(answer)
}

func (x *Executor) answerClaim(ctx context.Context, w wire.ClaimRequest) (wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	key, fingerprint, err := digests(w.Key, w.Print)
	if err != nil {
		return wire.ClaimResponse{}, err
	}
	o, err := x.registrar.Claim(ctx, encoder.ClaimerID(w.ID), key, fingerprint)
	if err != nil {
		return wire.ClaimResponse{}, err
	}
	h := encoder.Holding(o.Holder)
	return wire.ClaimResponse{Verdict: uint8(o.Verdict), Holder: &h}, nil
}

func digests(key, fingerprint []byte) (k, f claimer.Digest, err error) {
	k, keyErr := encoder.Digest("key", key)
	f, printErr := encoder.Digest("print", fingerprint)
	return k, f, errors.Join(keyErr, printErr)
}

// finish tells the home how the call ended; if it is out of reach, this host appends the end itself.
func (x *Executor) finish(ctx context.Context, id claimer.ID, key claimer.Digest, a registrar.Answer) {
	home, own := x.hosts.Home(x.registrar.Stream(key))
	if own {
		x.registrar.Finish(id, key, a)
		return
	}
	tell := wire.CallCompletion{
		ID: encoder.ClaimID(id), Key: key[:], Status: a.Status,
		Answer: &wire.StoredAnswer{Status: a.Status, Type: a.Type, Body: a.Body},
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimTimeout)
	defer cancel()
	if _, err := messenger.Call[wire.CallCompletion, wire.Empty](ctx, x.messenger, home.Address, kindFinish, tell); err != nil {
		x.registrar.Finish(id, key, a)
	}
}

func (x *Executor) answerFinish(_ context.Context, w wire.CallCompletion) (wire.Empty, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.Empty{}, err
	}
	a := registrar.Answer{Status: w.Status}
	if w.Answer != nil {
		a = registrar.Answer{Status: w.Answer.Status, Type: w.Answer.Type, Body: w.Answer.Body}
	}
	x.registrar.Finish(encoder.ClaimerID(w.ID), key, a)
	return wire.Empty{}, nil
}

// release frees the key of a call that was never sent.
func (x *Executor) release(id claimer.ID, key claimer.Digest) {
	home, own := x.hosts.Home(x.registrar.Stream(key))
	if own {
		x.registrar.Release(id, key)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ClaimTimeout)
	defer cancel()
	tell := wire.ReleaseRequest{ID: encoder.ClaimID(id), Key: key[:]}
	if _, err := messenger.Call[wire.ReleaseRequest, wire.Empty](ctx, x.messenger, home.Address, kindRelease, tell); err != nil {
		x.registrar.Release(id, key)
	}
}

func (x *Executor) answerRelease(_ context.Context, w wire.ReleaseRequest) (wire.Empty, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.Empty{}, err
	}
	x.registrar.Release(encoder.ClaimerID(w.ID), key)
	return wire.Empty{}, nil
}

func (x *Executor) askJoin(ctx context.Context, key claimer.Digest) (registrar.State, registrar.Answer, error) {
	home, own := x.hosts.Home(x.registrar.Stream(key))
	if own {
		ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
		defer cancel()
		state, a := x.registrar.Join(ctx, key)
		return state, a, nil
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout+ClaimTimeout)
	defer cancel()
	ask := wire.JoinRequest{Key: key[:], Wait: int(JoinTimeout.Milliseconds())}
	w, err := messenger.Call[wire.JoinRequest, wire.JoinResponse](ctx, x.messenger, home.Address, kindJoin, ask)
	if err != nil {
		return registrar.Unknown, registrar.Answer{}, err
	}
	var a registrar.Answer
	if w.Answer != nil {
		a = registrar.Answer{Status: w.Answer.Status, Type: w.Answer.Type, Body: w.Answer.Body}
	}
	return registrar.State(w.State), a, nil
}

func (x *Executor) answerJoin(ctx context.Context, w wire.JoinRequest) (wire.JoinResponse, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.JoinResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
	defer cancel()
	state, a := x.registrar.Join(ctx, key)
	answer := wire.JoinResponse{State: uint8(state), Status: a.Status}
	if state == registrar.Kept {
		answer.Answer = &wire.StoredAnswer{Status: a.Status, Type: a.Type, Body: a.Body}
	}
	return answer, nil
}
