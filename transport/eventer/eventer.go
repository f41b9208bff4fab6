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
	Started           = Event{101, "started"}
	Draining          = Event{102, "draining"}
	Stopped           = Event{103, "stopped"}
	LibraryMessage    = Event{105, "note of a library"}
	LogUnreachable    = Event{201, "log unreachable"}
	LogReachable      = Event{204, "log reached again"}
	LogRestored       = Event{207, "log returned from an older copy"}
	RecordsExpired    = Event{202, "records expired before they were read"}
	RecordInvalid     = Event{203, "record unreadable"}
	SourceChanged     = Event{205, "source of the log changed"}
	SourceFailed      = Event{206, "source of the log failed"}
	RulesInForce      = Event{301, "rules in force"}
	RulesNotEvaluated = Event{302, "rules not judged"}
	RulesFromPeer     = Event{303, "rules taken from a peer"}
	HostState         = Event{401, "host changed state"}
	PeerRefused       = Event{402, "peer refused"}
	ClaimAbandoned    = Event{501, "claim given up"}
	OutcomeUnknown    = Event{502, "outcome of a once call unknown"}
	AppendDeferred    = Event{503, "append deferred"}
	EngineLost        = Event{601, "engine gone"}
	ReleaseRetried    = Event{602, "release retried"}
	EndpointLeaving   = Event{603, "endpoint leaving"}
	RequestConvicted  = Event{604, "request convicted"}
	RequestReaped     = Event{605, "request of a silent host cancelled"}
	EndpointListed    = Event{606, "endpoint listed"}
	EndpointRemoved   = Event{607, "endpoint gone"}
	StageOrdered      = Event{608, "engine ordered to another stage"}
	LeaseTaken        = Event{609, "duty of ordering engines changed"}
	ReleaseFailed     = Event{610, "engine memory not released"}
	StageSplitChosen  = Event{611, "split of engines chosen"}
	OrderFailed       = Event{612, "order failed"}
	EndpointPaused    = Event{613, "endpoint asks for a pause"}
	NoticeInvalid     = Event{614, "notice of an endpoint unreadable"}
	SeedsUnreachable  = Event{404, "no seed reached"}
	HostsDiscovered   = Event{405, "hosts read from the log"}
	DiscoveryFailed   = Event{406, "log not reached to find hosts"}
	OwnerUnresponsive = Event{403, "home of a service silent"}
	OwnerResponsive   = Event{407, "home of a service answers again"}
	HostSuspended     = Event{408, "host stood still"}
	AttemptFailed     = Event{701, "attempt failed"}
	Superseded        = Event{702, "attempt superseded by a resend"}
	RequestEnded      = Event{703, "request ended"}
	SendFailed        = Event{704, "send failed"}
	ConnectionLimit   = Event{705, "connections at their bound"}
	LinesDropped      = Event{106, "log lines dropped"}
	SettingsReloaded  = Event{107, "settings read again"}
	AuditAppendFailed = Event{801, "audit record not appended"}
)

// Events lists every event.
var Events = []Event{
	Started, Draining, Stopped, LibraryMessage, LogUnreachable, LogReachable, LogRestored, RecordsExpired, RecordInvalid,
	SourceChanged, SourceFailed,
	RulesInForce, RulesNotEvaluated, RulesFromPeer, HostState, PeerRefused, ClaimAbandoned, OutcomeUnknown, AppendDeferred,
	EngineLost, ReleaseRetried, EndpointLeaving, RequestConvicted, RequestReaped, EndpointListed, EndpointRemoved, StageOrdered,
	LeaseTaken, ReleaseFailed, StageSplitChosen, OrderFailed, EndpointPaused, NoticeInvalid, SeedsUnreachable, HostsDiscovered, DiscoveryFailed, OwnerUnresponsive, OwnerResponsive,
	HostSuspended, AttemptFailed, Superseded, RequestEnded, SendFailed, ConnectionLimit, LinesDropped, SettingsReloaded, AuditAppendFailed,
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
	logx.SetWriter(&logxWriter{logs: l})
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
