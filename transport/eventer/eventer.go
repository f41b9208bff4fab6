// Package eventer logs numbered events. The catalogue is docs/EVENTS.md.
package eventer

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
)

// Event is a kind of log line with a number that never changes its meaning.
type Event struct {
	Number int
	Text   string
}

// The events. Numbers below 200 are of the process, 2xx of the log, 3xx of rules, 4xx of hosts, 5xx of once calls,
// 6xx of engines, 7xx of callers, 8xx of the audit trail.
var (
	Started         = Event{101, "started"}
	Draining        = Event{102, "draining"}
	Stopped         = Event{103, "stopped"}
	LibraryNote     = Event{105, "note of a library"}
	LogUnreachable  = Event{201, "log unreachable"}
	LogRegained     = Event{204, "log reached again"}
	LogReturned     = Event{207, "log returned from an older copy"}
	StreamExpired   = Event{202, "records expired before they were read"}
	RecordDamaged   = Event{203, "record unreadable"}
	SourceChanged   = Event{205, "source of the log changed"}
	SourceFailed    = Event{206, "source of the log failed"}
	RulesInForce    = Event{301, "rules in force"}
	RulesStalled    = Event{302, "rules not judged"}
	RulesFromPeer   = Event{303, "rules taken from a peer"}
	HostState       = Event{401, "host changed state"}
	PeerRefused     = Event{402, "peer refused"}
	ClaimUnknown    = Event{501, "claim given up"}
	CallUnknown     = Event{502, "outcome of a once call unknown"}
	AppendDeferred  = Event{503, "append deferred"}
	EngineGone      = Event{601, "engine gone"}
	ReleaseRetried  = Event{602, "release retried"}
	EndpointLeaving = Event{603, "endpoint leaving"}
	Convicted       = Event{604, "request convicted"}
	Reaped          = Event{605, "request of a silent host cancelled"}
	EndpointChanged = Event{606, "endpoint listed"}
	EndpointGone    = Event{607, "endpoint gone"}
	StageOrdered    = Event{608, "engine ordered to another stage"}
	DutyChanged     = Event{609, "duty of ordering engines changed"}
	ReleaseFailed   = Event{610, "engine memory not released"}
	SplitChosen     = Event{611, "split of engines chosen"}
	OrderFailed     = Event{612, "order failed"}
	EndpointPaused  = Event{613, "endpoint asks for a pause"}
	NoticeDamaged   = Event{614, "notice of an endpoint unreadable"}
	NotJoined       = Event{404, "no seed reached"}
	Introduced      = Event{405, "hosts read from the log"}
	NotIntroduced   = Event{406, "log not reached to find hosts"}
	HomeSilent      = Event{403, "home of a service silent"}
	HomeHeard       = Event{407, "home of a service answers again"}
	StoodStill      = Event{408, "host stood still"}
	AttemptFailed   = Event{701, "attempt failed"}
	Superseded      = Event{702, "attempt superseded by a resend"}
	RequestEnded    = Event{703, "request ended"}
	SendFailed      = Event{704, "send failed"}
	Crowded         = Event{705, "connections at their bound"}
	LinesDropped    = Event{106, "log lines dropped"}
	Reloaded        = Event{107, "settings read again"}
	AuditLost       = Event{801, "audit record not appended"}
)

// Events lists every event.
var Events = []Event{
	Started, Draining, Stopped, LibraryNote, LogUnreachable, LogRegained, LogReturned, StreamExpired, RecordDamaged,
	SourceChanged, SourceFailed,
	RulesInForce, RulesStalled, RulesFromPeer, HostState, PeerRefused, ClaimUnknown, CallUnknown, AppendDeferred,
	EngineGone, ReleaseRetried, EndpointLeaving, Convicted, Reaped, EndpointChanged, EndpointGone, StageOrdered,
	DutyChanged, ReleaseFailed, SplitChosen, OrderFailed, EndpointPaused, NoticeDamaged, NotJoined, Introduced, NotIntroduced, HomeSilent, HomeHeard,
	StoodStill, AttemptFailed, Superseded, RequestEnded, SendFailed, Crowded, LinesDropped, Reloaded, AuditLost,
}

// New returns a logger that writes lines to w, as JSON if json is set, and takes over go-zero's own log.
func New(name, level string, json bool, w io.Writer) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: json,
	})
	// go-zero sets its log up once, at the first server; done here, it cannot replace the bridge later.
	_ = logx.SetUp(logx.LogConf{Mode: "console"})
	logx.SetWriter(&bridge{logs: l})
	logx.DisableStat()
	return l
}

// Info logs e with pairs of names and values.
func Info(l hclog.Logger, e Event, pairs ...any) { l.Info(e.Text, e.with(pairs)...) }

// Warn logs e with pairs of names and values.
func Warn(l hclog.Logger, e Event, pairs ...any) { l.Warn(e.Text, e.with(pairs)...) }

// Error logs e with pairs of names and values.
func Error(l hclog.Logger, e Event, pairs ...any) { l.Error(e.Text, e.with(pairs)...) }

func (e Event) with(pairs []any) []any {
	return append([]any{"event", e.Number}, pairs...)
}
