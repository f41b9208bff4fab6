package isolator

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/quarantiner"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
	"github.com/hornbeamspan/hornbeamspan/transport/hosts/messenger"
)

const (
	// kindEvidence is the kind of messages that report ends of endpoints and acquittals, kindCompare that of calls which compare
	// the evidence of two hosts.
	kindEvidence = "evidence"
	kindCompare  = "compare"
	// notifyTimeout bounds a message to one host.
	notifyTimeout = time.Second
	// compareFraction is the fraction of the contact time after which a host with evidence compares it with others again, for
	// those that missed a message; compareHosts is the number of hosts that it compares it with.
	compareFraction = 1.0 / 3
	compareHosts    = 3
	// answerTime is how long an acquittal takes to reach all hosts, answerTimePerHost by how much acquittals of several hosts are
	// spread so that few of them send the same one.
	answerTime        = 50 * time.Millisecond
	answerTimePerHost = 500 * time.Microsecond
	// announceInterval is the time in which a host sends the acquittal of a part once.
	announceInterval = time.Second
)

// report merges what this host has seen of the end of an endpoint and notifies the other hosts. address is set if some of them are
// to check it.
func (i *Isolator) report(e quarantiner.End, address netip.AddrPort) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	i.setHosts(now)
	e.Expires = now.Add(i.options.Retention)
	isNew := i.quarantine.Observe(now, e)
	e.Blames = i.quarantine.Unacquitted(e)
	i.mu.Unlock()
	if !isNew {
		return
	}
	i.expectVerdicts()
	if len(e.Blames) > 0 {
		eventlogger.Warn(i.options.Logs, eventlogger.EngineLost, "engine", e.Engine.ID, "start", e.Engine.Start, "causes", len(e.Blames))
	}
	message := encodeEvidence(now, quarantiner.Evidence{Ends: []quarantiner.End{e}})
	if address.IsValid() {
		message.Ends[0].Address = address.String()
	}
	i.notifyAll(message)
}

// setHosts passes the number of hosts on to the quarantine: those in sight, as a host that is left alone must judge by itself. The
// caller holds mu.
func (i *Isolator) setHosts(now time.Time) {
	i.quarantine.SetHosts(now, max(1, len(i.options.Hosts.Serving())), answerTime+i.answerSpread())
}

// answerSpread is the time over which hosts spread acquittals.
func (i *Isolator) answerSpread() time.Duration {
	return time.Duration(max(1, i.options.Hosts.MaxServing())) * answerTimePerHost
}

// expectVerdicts enforces the verdicts now, and those that come into force after the others had time to acquit a part.
func (i *Isolator) expectVerdicts() {
	i.enforce()
	i.options.Clock.AfterFunc(answerTime+i.answerSpread()+time.Millisecond, i.enforce)
}

func (i *Isolator) notifyAll(message wire.CrashEvidence) {
	self := i.options.Hosts.Self().Name
	for _, m := range i.options.Hosts.Serving() {
		if m.Name != self {
			go i.notify(m, message)
		}
	}
}

// notify makes one attempt and ignores errors: a host that is not notified learns of the end when it compares evidence.
func (i *Isolator) notify(m tracker.Member, message wire.CrashEvidence) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	_ = messenger.Notify(ctx, i.options.Messenger, m.Address, kindEvidence, message)
}

func (i *Isolator) handleEvidence(_ context.Context, w wire.CrashEvidence) (wire.Empty, error) {
	ends := i.merge(w)
	for n, e := range ends {
		if address, err := netip.ParseAddrPort(w.Ends[n].Address); err == nil && i.isWitness(e) {
			go i.witness(e.Engine, e.At, address)
		}
	}
	return wire.Empty{}, nil
}

// merge merges the evidence of another host, announces what speaks in favour of the parts that it blames, and returns the ends.
func (i *Isolator) merge(w wire.CrashEvidence) []quarantiner.End {
	now := i.options.Clock.Now()
	ev := decodeEvidence(now, w)
	i.mu.Lock()
	i.setHosts(now)
	for _, a := range ev.Acquittals {
		i.announced[a.Cause] = now
	}
	isNew := i.quarantine.Merge(now, ev)
	var own []quarantiner.Acquittal
	for _, e := range ev.Ends {
		for _, a := range i.quarantine.OwnAcquittals(now, e) {
			// Fewer ends convict nobody, and most parts are never blamed for a second one.
			if i.quarantine.Blamed(a.Cause) >= i.options.PartLimit-1 {
				own = append(own, a)
			}
		}
	}
	delay := time.Duration(i.options.Random.Int64N(int64(i.answerSpread())))
	i.mu.Unlock()
	if len(own) > 0 {
		i.options.Clock.AfterFunc(delay, func() { i.announce(own) })
	}
	if isNew {
		i.expectVerdicts()
	}
	return ev.Ends
}

// announce sends acquittals to all hosts, except those that were sent or received lately.
func (i *Isolator) announce(list []quarantiner.Acquittal) {
	if len(list) == 0 {
		return
	}
	now := i.options.Clock.Now()
	i.mu.Lock()
	for c, at := range i.announced {
		if now.Sub(at) >= announceInterval {
			delete(i.announced, c)
		}
	}
	list = slices.DeleteFunc(slices.Clone(list), func(a quarantiner.Acquittal) bool { return !i.announced[a.Cause].IsZero() })
	for _, a := range list {
		i.announced[a.Cause] = now
	}
	i.mu.Unlock()
	if len(list) > 0 {
		i.notifyAll(encodeEvidence(now, quarantiner.Evidence{Acquittals: list}))
	}
}

// Run compares the evidence with other hosts until ctx ends, while there is any.
func (i *Isolator) Run(ctx context.Context) {
	ticker := i.options.Clock.NewTicker(time.Duration(compareFraction * float64(i.options.ContactTime)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.done:
			return
		case <-ticker.Chan():
		}
		i.mu.Lock()
		i.setHosts(i.options.Clock.Now())
		i.mu.Unlock()
		for _, m := range i.pickHosts() {
			go i.compare(ctx, m)
		}
		i.enforce()
	}
}

// pickHosts returns random hosts to compare evidence with, none if there is no evidence.
func (i *Isolator) pickHosts() []tracker.Member {
	self := i.options.Hosts.Self().Name
	hosts := slices.DeleteFunc(i.options.Hosts.Serving(), func(m tracker.Member) bool { return m.Name == self })
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.quarantine.IsEmpty() {
		return nil
	}
	i.options.Random.Shuffle(len(hosts), func(a, b int) { hosts[a], hosts[b] = hosts[b], hosts[a] })
	return hosts[:min(compareHosts, len(hosts))]
}

// compare exchanges evidence with another host if it differs.
func (i *Isolator) compare(ctx context.Context, m tracker.Member) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	ev, sum := i.evidence()
	answer, err := messenger.Call[wire.EvidenceRequest, wire.EvidenceResponse](ctx, i.options.Messenger, m.Address, kindCompare, wire.EvidenceRequest{Digest: sum})
	if err != nil || answer.IsSame {
		return
	}
	i.merge(answer.Evidence)
	i.notify(m, ev)
}

func (i *Isolator) handleCompare(_ context.Context, w wire.EvidenceRequest) (wire.EvidenceResponse, error) {
	ev, sum := i.evidence()
	if sum == w.Digest {
		return wire.EvidenceResponse{IsSame: true}, nil
	}
	return wire.EvidenceResponse{Evidence: ev}, nil
}

// evidence returns the evidence of this host and its digest.
func (i *Isolator) evidence() (wire.CrashEvidence, uint64) {
	now := i.options.Clock.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	ev := encodeEvidence(now, i.quarantine.Evidence(now))
	return ev, digest(ev, i.quarantine.Verdicts(now))
}

// digest is equal for the same ends, causes and verdicts. Times are left out: hosts learn of ends some milliseconds apart, and if
// the difference matters, then to the verdicts.
func digest(ev wire.CrashEvidence, verdicts []quarantiner.Cause) uint64 {
	sum := uint64(0)
	add := func(name string, numbers ...uint64) {
		d := xxhash.New()
		_, _ = d.WriteString(name)
		for _, n := range numbers {
			_, _ = d.Write(binary.BigEndian.AppendUint64(nil, n))
		}
		sum ^= d.Sum64() // independent of the order
	}
	for _, e := range ev.Ends {
		for _, c := range e.Causes {
			add(e.Engine, uint64(e.Start), uint64(c.Kind), c.Fingerprint, uint64(min(2, len(e.Witnesses))))
		}
	}
	for _, c := range verdicts {
		add("", uint64(c.Kind), c.ID)
	}
	return sum
}

func encodeEvidence(now time.Time, ev quarantiner.Evidence) wire.CrashEvidence {
	w := wire.CrashEvidence{Ends: []wire.EngineEnd{}, Acquittals: []wire.CauseAcquittal{}}
	for _, e := range ev.Ends {
		end := wire.EngineEnd{
			Engine: e.Engine.ID, Start: e.Engine.Start, Age: int(now.Sub(e.At).Milliseconds()), Left: int(e.Expires.Sub(now).Milliseconds()),
			Witnesses: append([]string{}, e.Witnesses...), Deniers: append([]string{}, e.Deniers...), Causes: []wire.CrashCause{},
		}
		for _, b := range e.Blames {
			end.Causes = append(end.Causes, wire.CrashCause{Kind: int(b.Kind), Fingerprint: b.ID, Depth: b.Depth})
		}
		w.Ends = append(w.Ends, end)
	}
	for _, a := range ev.Acquittals {
		w.Acquittals = append(w.Acquittals, wire.CauseAcquittal{Kind: int(a.Cause.Kind), Fingerprint: a.Cause.ID, Age: int(now.Sub(a.At).Milliseconds())})
	}
	return w
}

// decodeCause returns false for a kind that this version does not know.
func decodeCause(kind int, fingerprint uint64) (quarantiner.Cause, bool) {
	c := quarantiner.Cause{Kind: quarantiner.Kind(kind), ID: fingerprint}
	return c, c.Kind == quarantiner.Request || c.Kind == quarantiner.Part
}

func decodeEvidence(now time.Time, w wire.CrashEvidence) quarantiner.Evidence {
	var ev quarantiner.Evidence
	ago := func(ms int) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	for _, e := range w.Ends {
		end := quarantiner.End{
			Engine: quarantiner.Engine{ID: e.Engine, Start: e.Start}, At: ago(e.Age), Expires: ago(-e.Left), Witnesses: e.Witnesses, Deniers: e.Deniers,
		}
		for _, c := range e.Causes {
			if cause, ok := decodeCause(c.Kind, c.Fingerprint); ok {
				end.Blames = append(end.Blames, quarantiner.Blame{Cause: cause, Depth: c.Depth})
			}
		}
		ev.Ends = append(ev.Ends, end)
	}
	for _, a := range w.Acquittals {
		if cause, ok := decodeCause(a.Kind, a.Fingerprint); ok {
			ev.Acquittals = append(ev.Acquittals, quarantiner.Acquittal{Cause: cause, At: ago(a.Age)})
		}
	}
	return ev
}
