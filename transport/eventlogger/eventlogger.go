// Package eventlogger logs numbered events. docs/EVENTS.md documents them.
package eventlogger

import (
	"io"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
)

// Event is a type of log line. The meaning of its number never changes.
type Event struct {
	Number int
	Text   string
}

// The events by range: 1xx process, 2xx log, 3xx rules, 4xx hosts, 5xx at-most-once calls, 6xx engines and endpoints,
// 7xx callers, 8xx audit trail.
var (
	Started            = Event{101, "started"}
	Draining           = Event{102, "draining"}
	Stopped            = Event{103, "stopped"}
	LibraryMessage     = Event{105, "library message"}
	LogUnreachable     = Event{201, "log unreachable"}
	LogReachable       = Event{204, "log reachable again"}
	LogRestored        = Event{207, "log restored from an older copy"}
	RecordsExpired     = Event{202, "records expired before they were read"}
	RecordInvalid      = Event{203, "record could not be decoded"}
	SourceChanged      = Event{205, "log source changed"}
	SourceFailed       = Event{206, "log source failed"}
	RulesInForce       = Event{301, "rules in force"}
	RulesNotEvaluated  = Event{302, "rules not evaluated"}
	RulesFromPeer      = Event{303, "rules received from a peer"}
	HostState          = Event{401, "host changed state"}
	PeerRefused        = Event{402, "peer refused"}
	ClaimAbandoned     = Event{501, "claim abandoned"}
	OutcomeUnknown     = Event{502, "outcome of an at-most-once call unknown"}
	AppendDeferred     = Event{503, "append deferred"}
	EngineLost         = Event{601, "engine lost"}
	ReleaseRetried     = Event{602, "release retried"}
	EndpointLeaving    = Event{603, "endpoint leaving"}
	RequestConvicted   = Event{604, "request convicted"}
	OrphanCancelled    = Event{605, "request of an unresponsive host cancelled"}
	EndpointListed     = Event{606, "endpoint listed"}
	EndpointRemoved    = Event{607, "endpoint removed"}
	StageOrdered       = Event{608, "engine ordered to another stage"}
	LeaseTaken         = Event{609, "lease for engine orders taken"}
	ReleaseFailed      = Event{610, "engine memory not released"}
	StageSplitChosen   = Event{611, "stage split of engines chosen"}
	OrderFailed        = Event{612, "engine order failed"}
	EndpointPaused     = Event{613, "endpoint requested a pause"}
	NoticeInvalid      = Event{614, "endpoint notice could not be parsed"}
	EndpointLimited    = Event{615, "endpoint rate limit changed"}
	PermitsUnavailable = Event{616, "owner of a service did not answer a request for a permit"}
	VerdictEnded       = Event{617, "verdict on a request ended"}
	VersionRecorded    = Event{618, "software version recorded"}
	OriginsNotStored   = Event{619, "origins of streams not written to the log"}
	SeedsUnreachable   = Event{404, "no seed reached"}
	HostsDiscovered    = Event{405, "hosts discovered from the log"}
	DiscoveryFailed    = Event{406, "host discovery from the log failed"}
	OwnerUnresponsive  = Event{403, "owner of a service unresponsive"}
	OwnerResponsive    = Event{407, "owner of a service responsive again"}
	HostSuspended      = Event{408, "host was suspended"}
	SessionReplaced    = Event{409, "session to a host replaced"}
	AttemptFailed      = Event{701, "attempt failed"}
	Superseded         = Event{702, "attempt superseded by a resend"}
	RequestEnded       = Event{703, "request ended"}
	SendFailed         = Event{704, "send failed"}
	ConnectionLimit    = Event{705, "connection limit reached"}
	LinesDropped       = Event{106, "log lines dropped"}
	SettingsReloaded   = Event{107, "settings reload"}
	AuditAppendFailed  = Event{801, "audit record not appended"}
)

// Events lists all events, for the check against their documentation.
var Events = []Event{
	Started, Draining, Stopped, LibraryMessage, LogUnreachable, LogReachable, LogRestored, RecordsExpired, RecordInvalid,
	SourceChanged, SourceFailed,
	RulesInForce, RulesNotEvaluated, RulesFromPeer, HostState, PeerRefused, ClaimAbandoned, OutcomeUnknown, AppendDeferred,
	EngineLost, ReleaseRetried, EndpointLeaving, RequestConvicted, OrphanCancelled, EndpointListed, EndpointRemoved, StageOrdered,
	LeaseTaken, ReleaseFailed, StageSplitChosen, OrderFailed, EndpointPaused, NoticeInvalid, EndpointLimited, PermitsUnavailable, VerdictEnded,
	VersionRecorded, OriginsNotStored, SeedsUnreachable, HostsDiscovered, DiscoveryFailed, OwnerUnresponsive, OwnerResponsive,
	HostSuspended, AttemptFailed, Superseded, RequestEnded, SendFailed, ConnectionLimit, LinesDropped, SettingsReloaded, AuditAppendFailed,
}

// New returns a logger that writes lines to w, as JSON if json is set. It also redirects go-zero's log to that logger.
func New(name, level string, json bool, w io.Writer) hclog.Logger {
	l := hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		Output:     w,
		JSONFormat: json,
	})
	// go-zero sets up its log once, when the first server starts. Setting it up here keeps it from replacing logxWriter later.
	_ = logx.SetUp(logx.LogConf{Mode: "console"})
	logx.SetWriter(&logxWriter{logs: l})
	logx.DisableStat()
	return l
}

// Info logs e with key-value pairs at info level.
func Info(l hclog.Logger, e Event, pairs ...any) { l.Info(e.Text, e.with(pairs)...) }

// Warn logs e with key-value pairs at warn level.
func Warn(l hclog.Logger, e Event, pairs ...any) { l.Warn(e.Text, e.with(pairs)...) }

// Error logs e with key-value pairs at error level.
func Error(l hclog.Logger, e Event, pairs ...any) { l.Error(e.Text, e.with(pairs)...) }

func (e Event) with(pairs []any) []any {
	return append([]any{"event", e.Number}, pairs...)
}
