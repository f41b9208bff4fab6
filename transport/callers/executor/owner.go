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
	"github.com/hornbeamspan/hornbeamspan/transport/store/keyowner"
)

// The kinds of messages to the host that owns a key.
const (
	kindClaim   = "claim"
	kindFinish  = "finish"
	kindRelease = "release"
	kindJoin    = "join"
)

// claim requests a verdict from the owner of key. After any error other than a *keyowner.NotClaimedError the claim may
// still take effect.
func (e *Executor) claim(ctx context.Context, owner netip.AddrPort, isLocal bool, id claimer.ID, key, fingerprint claimer.Digest) (claimer.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimTimeout)
	defer cancel()
	if isLocal {
		return e.keyOwner.Claim(ctx, id, key, fingerprint)
	}
	req := wire.ClaimRequest{ID: encoder.ClaimID(id), Key: key[:], Fingerprint: fingerprint[:]}
	answer, err := messenger.Call[wire.ClaimRequest, wire.ClaimResponse](ctx, e.messenger, owner, kindClaim, req)
	if err != nil {
		return claimer.Outcome{}, err
	}
	return decodeOutcome(answer)
}

func (e *Executor) handleClaim(ctx context.Context, w wire.ClaimRequest) (wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	key, fingerprint, err := decodeDigests(w.Key, w.Fingerprint)
	if err != nil {
		return wire.ClaimResponse{}, err
	}
	o, err := e.keyOwner.Claim(ctx, encoder.ClaimerID(w.ID), key, fingerprint)
	if err != nil {
		return wire.ClaimResponse{}, err
	}
	h := encoder.Holding(o.Holder)
	return wire.ClaimResponse{Verdict: uint8(o.Verdict), Holder: &h}, nil
}

func decodeDigests(key, fingerprint []byte) (k, f claimer.Digest, err error) {
	k, keyErr := encoder.Digest("key", key)
	f, printErr := encoder.Digest("print", fingerprint)
	return k, f, errors.Join(keyErr, printErr)
}

// finish reports the call's answer to the owner of the key. If that fails, this host writes it to the log itself.
func (e *Executor) finish(ctx context.Context, id claimer.ID, key claimer.Digest, a keyowner.Answer) {
	owner, isLocal := e.hosts.Owner(e.keyOwner.Stream(key))
	if isLocal {
		e.keyOwner.Finish(id, key, a)
		return
	}
	msg := wire.CallCompletion{
		ID: encoder.ClaimID(id), Key: key[:], Status: a.Status,
		Answer: &wire.StoredAnswer{Status: a.Status, Type: a.Type, Body: a.Body},
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ClaimTimeout)
	defer cancel()
	if _, err := messenger.Call[wire.CallCompletion, wire.Empty](ctx, e.messenger, owner.Address, kindFinish, msg); err != nil {
		e.keyOwner.Finish(id, key, a)
	}
}

func (e *Executor) handleFinish(_ context.Context, w wire.CallCompletion) (wire.Empty, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.Empty{}, err
	}
	a := keyowner.Answer{Status: w.Status}
	if w.Answer != nil {
		a = keyowner.Answer{Status: w.Answer.Status, Type: w.Answer.Type, Body: w.Answer.Body}
	}
	e.keyOwner.Finish(encoder.ClaimerID(w.ID), key, a)
	return wire.Empty{}, nil
}

// release frees the key of a call that was not sent.
func (e *Executor) release(id claimer.ID, key claimer.Digest) {
	owner, isLocal := e.hosts.Owner(e.keyOwner.Stream(key))
	if isLocal {
		e.keyOwner.Release(id, key)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ClaimTimeout)
	defer cancel()
	msg := wire.ReleaseRequest{ID: encoder.ClaimID(id), Key: key[:]}
	if _, err := messenger.Call[wire.ReleaseRequest, wire.Empty](ctx, e.messenger, owner.Address, kindRelease, msg); err != nil {
		e.keyOwner.Release(id, key)
	}
}

func (e *Executor) handleRelease(_ context.Context, w wire.ReleaseRequest) (wire.Empty, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.Empty{}, err
	}
	e.keyOwner.Release(encoder.ClaimerID(w.ID), key)
	return wire.Empty{}, nil
}

func (e *Executor) awaitAnswer(ctx context.Context, key claimer.Digest) (keyowner.State, keyowner.Answer, error) {
	owner, isLocal := e.hosts.Owner(e.keyOwner.Stream(key))
	if isLocal {
		ctx, cancel := context.WithTimeout(ctx, JoinTimeout)
		defer cancel()
		state, a := e.keyOwner.Join(ctx, key)
		return state, a, nil
	}
	ctx, cancel := context.WithTimeout(ctx, JoinTimeout+ClaimTimeout)
	defer cancel()
	req := wire.JoinRequest{Key: key[:], Wait: int(JoinTimeout.Milliseconds())}
	w, err := messenger.Call[wire.JoinRequest, wire.JoinResponse](ctx, e.messenger, owner.Address, kindJoin, req)
	if err != nil {
		return keyowner.Unknown, keyowner.Answer{}, err
	}
	var a keyowner.Answer
	if w.Answer != nil {
		a = keyowner.Answer{Status: w.Answer.Status, Type: w.Answer.Type, Body: w.Answer.Body}
	}
	return keyowner.State(w.State), a, nil
}

func (e *Executor) handleJoin(ctx context.Context, w wire.JoinRequest) (wire.JoinResponse, error) {
	key, err := encoder.Digest("key", w.Key)
	if err != nil {
		return wire.JoinResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Wait)*time.Millisecond)
	defer cancel()
	state, a := e.keyOwner.Join(ctx, key)
	answer := wire.JoinResponse{State: uint8(state), Status: a.Status}
	if state == keyowner.Stored {
		answer.Answer = &wire.StoredAnswer{Status: a.Status, Type: a.Type, Body: a.Body}
	}
	return answer, nil
}
