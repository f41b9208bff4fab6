package publisher

import (
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

// DecisionHorizon is how long the verdict on a publication is kept, by the log's time.
const DecisionRetention = 24 * time.Hour

// Publication asks for a change of the rule file at version Base. ID is chosen by the operator's tool and names the
// publication for good. Validator is the version of the validator that judges the result.
type Publication struct {
	ID        string
	Base      uint64
	Author    string
	Change    Delta
	Sum       Sum
	Validator int
}

// File is a version of the rule file. Version 0 is the empty file.
type File struct {
	Version uint64
	Text    string
	Author  string
}

// Decision is the verdict on a publication. Version is the one it made, or the one in force when it was refused.
type Decision struct {
	ID       string
	Author   string
	Accepted bool
	Version  uint64
	Reason   string
	At       time.Time
}

// Checkpoint is the state before the record at offset Upto.
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

// Validator checks a rule file.
type Validator func(text string) error

// Judge is the state of the rules stream. It is not safe for concurrent use.
type Evaluator struct {
	validators       map[int]Validator
	file             File
	decisions        []Decision
	checkpointOffset uint64
	err              error
}

var _ replayer.State[Payload] = (*Evaluator)(nil)

// ValidatorError reports a publication that this software cannot judge.
type ValidatorError struct {
	Publication string
	Validator   int
}

func (e *ValidatorError) Error() string {
	return fmt.Sprintf("publisher: unable to judge publication %s: validator %d is not known to this version", e.Publication, e.Validator)
}

// NewJudge returns a Judge at version 0 that knows validators by their versions.
func NewEvaluator(validators map[int]Validator) *Evaluator {
	return &Evaluator{validators: validators}
}

// Reset returns the judge to version 0.
func (j *Evaluator) Reset() {
	j.file = File{}
	j.decisions = nil
	j.checkpointOffset = 0
	j.err = nil
}

// File returns the file in force at the last applied record.
func (j *Evaluator) File() File { return j.file }

// Covered returns the offset up to which the newest checkpoint in the stream covers it.
func (j *Evaluator) CheckpointOffset() uint64 { return j.checkpointOffset }

// Err returns a ValidatorError once a record could not be judged. The judge then changes no more.
func (j *Evaluator) Err() error { return j.err }

// Decision returns the verdict on publication id.
func (j *Evaluator) Decision(id string) (Decision, bool) {
	i := slices.IndexFunc(j.decisions, func(d Decision) bool { return d.ID == id })
	if i < 0 {
		return Decision{}, false
	}
	return j.decisions[i], true
}

// Decisions returns the verdicts of the last DecisionHorizon, oldest first.
func (j *Evaluator) Decisions() []Decision { return slices.Clone(j.decisions) }

// Checkpoint returns the state before the record at offset upto.
func (j *Evaluator) Checkpoint(upto uint64) Checkpoint {
	return Checkpoint{Upto: upto, File: j.file, Decisions: j.Decisions()}
}

// Restore takes r if it is a checkpoint.
func (j *Evaluator) Restore(r replayer.Record[Payload]) (uint64, bool) {
	c := r.Payload.Checkpoint
	if c == nil {
		return 0, false
	}
	j.Reset()
	j.file = c.File
	j.decisions = slices.Clone(c.Decisions)
	j.checkpointOffset = c.Upto
	return c.Upto, true
}

// Apply changes the judge by one record.
func (j *Evaluator) Apply(r replayer.Record[Payload]) {
	if j.err != nil {
		return
	}
	if c := r.Payload.Checkpoint; c != nil {
		j.checkpointOffset = max(j.checkpointOffset, c.Upto)
	}
	if p := r.Payload.Publication; p != nil {
		j.applyPublication(*p, r.At)
	}
}

func (j *Evaluator) applyPublication(p Publication, at time.Time) {
	if _, ok := j.Decision(p.ID); ok {
		return
	}
	validate, ok := j.validators[p.Validator]
	if !ok {
		j.err = &ValidatorError{Publication: p.ID, Validator: p.Validator}
		return
	}
	d := Decision{ID: p.ID, Author: p.Author, At: at}
	text, reason := j.validate(p, validate)
	if reason == "" {
		j.file = File{Version: j.file.Version + 1, Text: text, Author: p.Author}
		d.Accepted = true
	}
	d.Version = j.file.Version
	d.Reason = reason
	j.recordDecision(d)
}

func (j *Evaluator) validate(p Publication, validate Validator) (text, reason string) {
	if p.Base != j.file.Version {
		return "", ConflictReason(p.Base, j.file)
	}
	text, ok := p.Change.Apply(j.file.Text)
	if !ok || SumOf(text) != p.Sum {
		return "", "damaged: the change does not give the file that was published"
	}
	if err := validate(text); err != nil {
		return "", "invalid: " + err.Error()
	}
	return text, ""
}

func (j *Evaluator) recordDecision(d Decision) {
	cut := d.At.Add(-DecisionRetention)
	j.decisions = slices.DeleteFunc(j.decisions, func(o Decision) bool { return o.At.Before(cut) })
	j.decisions = append(j.decisions, d)
}

// Conflict says why a publication on top of version base is refused while file is in force.
func ConflictReason(base uint64, file File) string {
	return fmt.Sprintf("conflict: base is version %d, but version %d by %s is in force", base, file.Version, file.Author)
}
