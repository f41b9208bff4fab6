package publisher

import (
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// DecisionRetention is how long a decision is kept, measured in the log's append times.
const DecisionRetention = 24 * time.Hour

// Publication requests a change of the rule file at version Base. ID is chosen by the operator's tool and identifies the
// publication across resends. Validator is the version of the validator that checks the resulting file.
type Publication struct {
	ID        string
	Base      uint64
	Author    string
	Change    Delta
	Sum       Sum
	Validator int
}

// File is one version of the rule file. Version 0 is the empty file.
type File struct {
	Version uint64
	Text    string
	Author  string
}

// Decision is the outcome of a publication. Version is the one it created, or the one in force when it was refused.
type Decision struct {
	ID       string
	Author   string
	Accepted bool
	Version  uint64
	Reason   string
	At       time.Time
}

// Checkpoint is the state before the record at offset Upto is applied.
type Checkpoint struct {
	Upto      uint64
	File      File
	Decisions []Decision
}

// Payload is the content of one log record: a publication or a checkpoint.
type Payload struct {
	Publication *Publication
	Checkpoint  *Checkpoint
}

// Validator returns an error for an invalid rule file.
type Validator func(text string) error

// Evaluator derives the rule file in force from the records of the rules stream. It is not safe for concurrent use.
type Evaluator struct {
	validators       map[int]Validator
	file             File
	decisions        []Decision
	checkpointOffset uint64
	err              error
}

var _ replayer.State[Payload] = (*Evaluator)(nil)

// ValidatorError reports a publication whose validator version this software does not have.
type ValidatorError struct {
	Publication string
	Validator   int
}

func (e *ValidatorError) Error() string {
	return fmt.Sprintf("publisher: unable to evaluate publication %s: validator version %d is not supported by this software", e.Publication, e.Validator)
}

// NewEvaluator returns an Evaluator at version 0. Its validators are keyed by their versions.
func NewEvaluator(validators map[int]Validator) *Evaluator {
	return &Evaluator{validators: validators}
}

// Reset returns to version 0 without decisions.
func (e *Evaluator) Reset() {
	e.file = File{}
	e.decisions = nil
	e.checkpointOffset = 0
	e.err = nil
}

// File returns the file in force after the last applied record.
func (e *Evaluator) File() File { return e.file }

// CheckpointOffset returns the offset before which the newest checkpoint covers every record.
func (e *Evaluator) CheckpointOffset() uint64 { return e.checkpointOffset }

// Err returns a ValidatorError after a publication with an unsupported validator. Later records are then ignored.
func (e *Evaluator) Err() error { return e.err }

// Decision returns the decision on publication id, and false if there is none within DecisionRetention.
func (e *Evaluator) Decision(id string) (Decision, bool) {
	i := slices.IndexFunc(e.decisions, func(d Decision) bool { return d.ID == id })
	if i < 0 {
		return Decision{}, false
	}
	return e.decisions[i], true
}

// Decisions returns the decisions of the last DecisionRetention, oldest first.
func (e *Evaluator) Decisions() []Decision { return slices.Clone(e.decisions) }

// Checkpoint returns the current state as a checkpoint that covers the records before offset upto.
func (e *Evaluator) Checkpoint(upto uint64) Checkpoint {
	return Checkpoint{Upto: upto, File: e.file, Decisions: e.Decisions()}
}

// Restore replaces the state if r is a checkpoint; a checkpoint of this stream is always a single record.
func (e *Evaluator) Restore(r replayer.Record[Payload]) (uint64, bool) {
	c := r.Payload.Checkpoint
	if c == nil {
		return 0, false
	}
	e.Reset()
	e.file = c.File
	e.decisions = slices.Clone(c.Decisions)
	e.checkpointOffset = c.Upto
	return c.Upto, true
}

// Apply evaluates a publication, or notes the offset of a checkpoint.
func (e *Evaluator) Apply(r replayer.Record[Payload]) {
	if e.err != nil {
		return
	}
	if c := r.Payload.Checkpoint; c != nil {
		e.checkpointOffset = max(e.checkpointOffset, c.Upto)
	}
	if p := r.Payload.Publication; p != nil {
		e.applyPublication(*p, r.At)
	}
}

func (e *Evaluator) applyPublication(p Publication, at time.Time) {
	if _, ok := e.Decision(p.ID); ok {
		return
	}
	validate, ok := e.validators[p.Validator]
	if !ok {
		e.err = &ValidatorError{Publication: p.ID, Validator: p.Validator}
		return
	}
	d := Decision{ID: p.ID, Author: p.Author, At: at}
	text, reason := e.validate(p, validate)
	if reason == "" {
		e.file = File{Version: e.file.Version + 1, Text: text, Author: p.Author}
		d.Accepted = true
	}
	d.Version = e.file.Version
	d.Reason = reason
	e.recordDecision(d)
}

func (e *Evaluator) validate(p Publication, validate Validator) (text, reason string) {
	if p.Base != e.file.Version {
		return "", ConflictReason(p.Base, e.file)
	}
	text, ok := p.Change.Apply(e.file.Text)
	if !ok || SumOf(text) != p.Sum {
		return "", "damaged: the change does not give the file that was published"
	}
	if err := validate(text); err != nil {
		return "", "invalid: " + err.Error()
	}
	return text, ""
}

func (e *Evaluator) recordDecision(d Decision) {
	cutoff := d.At.Add(-DecisionRetention)
	e.decisions = slices.DeleteFunc(e.decisions, func(o Decision) bool { return o.At.Before(cutoff) })
	e.decisions = append(e.decisions, d)
}

// ConflictReason describes why a publication based on version base is refused while file is in force.
func ConflictReason(base uint64, file File) string {
	return fmt.Sprintf("conflict: base is version %d, but version %d by %s is in force", base, file.Version, file.Author)
}
