package publisher

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/replayer"
)

var epoch = time.Unix(1_000_000, 0)

// A fixed seed makes every run check the same cases.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func validators() map[int]Validator {
	return map[int]Validator{1: func(text string) error {
		if strings.Contains(text, "bad") {
			return errors.New("bad line")
		}
		return nil
	}}
}

func publication(id string, base uint64, from, to string) Publication {
	return Publication{ID: id, Base: base, Author: "ada", Change: Diff(from, to), Sum: SumOf(to), Validator: 1}
}

func feed(rp *replayer.Replayer[Payload], payload Payload) {
	rp.Feed(replayer.Record[Payload]{Offset: rp.Next(), At: epoch.Add(time.Duration(rp.Next()) * time.Second), Payload: payload})
}

func publish(rp *replayer.Replayer[Payload], publication Publication) {
	feed(rp, Payload{Publication: &publication})
}

func TestSecondOfTwoConcurrentPublicationsIsRefusedWithTheVersionInForce(t *testing.T) {
	e := NewEvaluator(validators())
	rp := replayer.New[Payload](e)
	publish(rp, publication("first", 0, "", "a\n"))
	publish(rp, publication("second", 0, "", "b\n"))
	d, _ := e.Decision("second")
	assert.False(t, d.Accepted)
	assert.Equal(t, "conflict: base is version 0, but version 1 by ada is in force", d.Reason)
	assert.Equal(t, "a\n", e.File().Text)
}

func TestPublicationAppendedTwiceIsAppliedOnce(t *testing.T) {
	e := NewEvaluator(validators())
	rp := replayer.New[Payload](e)
	publish(rp, publication("same", 0, "", "a\n"))
	publish(rp, publication("same", 0, "", "a\n"))
	d, _ := e.Decision("same")
	assert.True(t, d.Accepted)
	assert.Equal(t, uint64(1), e.File().Version)
}

func TestInvalidAndCorruptPublicationsAreRefused(t *testing.T) {
	e := NewEvaluator(validators())
	rp := replayer.New[Payload](e)
	publish(rp, publication("invalid", 0, "", "bad\n"))
	damaged := publication("damaged", 0, "", "a\n")
	damaged.Sum = Sum{}
	publish(rp, damaged)
	assert.Zero(t, e.File().Version)
}

func TestUnsupportedValidatorStopsEvaluationSoThatHostsDoNotDiverge(t *testing.T) {
	e := NewEvaluator(validators())
	rp := replayer.New[Payload](e)
	newer := publication("newer", 0, "", "a\n")
	newer.Validator = 2
	publish(rp, newer)
	publish(rp, publication("older", 0, "", "b\n"))
	var unknown *ValidatorError
	assert.ErrorAs(t, e.Err(), &unknown)
	assert.Zero(t, e.File().Version)
}

func TestApplyingADiffGivesTheNewText(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d"}), 0, 8)
	rapid.Check(t, func(t *rapid.T) {
		from := strings.Join(lines.Draw(t, "from"), "")
		to := strings.Join(lines.Draw(t, "to"), "")
		got, ok := Diff(from, to).Apply(from)
		assert.True(t, ok)
		assert.Equal(t, to, got)
	})
}

// TestReadersAgreeOnEveryVersion checks the properties of spec/rules.pml: readers that start at any checkpoint agree, and
// versions only increase.
func TestReadersAgreeOnEveryVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		writer := NewEvaluator(validators())
		full := replayer.New[Payload](writer)
		var stream []replayer.Record[Payload]
		contents := make(map[uint64]string)
		var taken *Checkpoint
		for i := range rapid.IntRange(1, 30).Draw(t, "records") {
			payload := drawPayload(t, i, writer)
			if taken != nil && rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				payload = Payload{Checkpoint: taken}
			}
			if rapid.IntRange(0, 3).Draw(t, "take") == 0 {
				c := writer.Checkpoint(full.Next())
				taken = &c
			}
			r := replayer.Record[Payload]{Offset: full.Next(), At: epoch.Add(time.Duration(i) * time.Second), Payload: payload}
			before := writer.File().Version
			stream = append(stream, r)
			full.Feed(r)
			assert.GreaterOrEqual(t, writer.File().Version, before)
			contents[writer.File().Version] = writer.File().Text
		}
		late := NewEvaluator(validators())
		rp := replayer.New[Payload](late)
		from := rapid.IntRange(0, len(stream)).Draw(t, "oldest")
		rp.Restart(uint64(from))
		for _, r := range stream[from:] {
			rp.Feed(r)
			if rp.IsComplete() {
				assert.Equal(t, contents[late.File().Version], late.File().Text)
			}
		}
		if rp.IsComplete() {
			assert.Equal(t, writer.File(), late.File())
		}
	})
}

func drawPayload(t *rapid.T, i int, writer *Evaluator) Payload {
	f := writer.File()
	base := f.Version
	if rapid.Bool().Draw(t, "stale") && base > 0 {
		base--
	}
	p := publication(fmt.Sprint("p", rapid.IntRange(0, i).Draw(t, "id")), base, f.Text, f.Text+fmt.Sprintf("line %d\n", i))
	return Payload{Publication: &p}
}

func BenchmarkEvaluator(b *testing.B) {
	for _, lines := range []int{100, 1_000, 2_500, 5_000} {
		b.Run(fmt.Sprintf("lines=%d", lines), func(b *testing.B) {
			e := NewEvaluator(map[int]Validator{1: func(string) error { return nil }})
			text := strings.Repeat("organisation x token=0 # ada: forty-eight characters a line\n", lines)
			e.file = File{Version: 1, Text: text}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				change := fmt.Sprintf("change %d\n", i)
				p := Publication{ID: change, Base: e.file.Version, Change: Delta{Head: lines - 1, Lines: []string{change}}, Validator: 1}
				next, _ := p.Change.Apply(e.file.Text)
				p.Sum = SumOf(next)
				e.decisions = nil
				e.applyPublication(p, epoch)
			}
		})
	}
}
