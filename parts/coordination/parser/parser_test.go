package parser

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validRules = `pool p kind=prefill # ada: prompts
pool d kind=decode fence=yes # ada: answers
pool desk kind=service # ada: desk
model writer prefill=p decode=d start=390ms finish=20s priority=1 # ada: contract 12
once invoices service=desk method=POST path=/invoices status=/invoices/status # ben: finance
lookup desk finish=200ms hedge=50ms # ben: calls
organisation adaeze token=9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08 rate=50 burst=20 # ada: contract 12

# a line of its own
`

func TestParseAcceptsEveryVerb(t *testing.T) {
	r, err := Parse(validRules)
	require.NoError(t, err)
	assert.Equal(t, Pool{Name: "d", Kind: Decode, IsFenced: true}, r.Pools["d"])
	assert.Equal(t, Model{Name: "writer", Prefill: "p", Decode: "d", Start: 390 * time.Millisecond, Finish: 20 * time.Second, Priority: 1}, r.Models["writer"])
	assert.Equal(t, Once{Name: "invoices", Service: "desk", Method: "POST", Path: "/invoices", Status: "/invoices/status"}, r.OnceCalls["invoices"])
	assert.Equal(t, Lookup{Service: "desk", Finish: 200 * time.Millisecond, Hedge: 50 * time.Millisecond}, r.Lookups["desk"])
	assert.Equal(t, "adaeze", r.ByToken[r.Organisations["adaeze"].Token])
}

func TestParseReportsLineColumnAndFieldOfEveryError(t *testing.T) {
	for _, c := range []struct {
		name, line, want string
	}{
		{"no comment", "pool p kind=prefill", "line 1, column 20: comment: a rule ends with a comment: # who: why"},
		{"comment without who", "pool p kind=prefill # because", "line 1, column 30: comment: a rule ends with a comment: # who: why"},
		{"unknown verb", "pond p kind=prefill # a: b", "line 1, column 1: pond: unknown verb; known are pool, model, once, lookup, organisation"},
		{"unknown key", "pool p kind=prefill size=3 # a: b", "line 1, column 21: size: unknown key for this verb"},
		{"key given twice", "pool p kind=prefill kind=decode # a: b", "line 1, column 21: kind: given twice"},
		{"missing key", "pool p # a: b", "line 1, column 6: kind: is missing"},
		{"bad value", "pool p kind=fill # a: b", "line 1, column 8: kind: must be one of prefill, decode, service"},
		{"no name", "pool # a: b", "line 1, column 6: pool: a rule needs a name after its verb"},
		{"bad name", "pool P kind=prefill # a: b", "line 1, column 6: P: a name has lower-case letters, digits, dots, dashes and underscores"},
		{"not key=value", "pool p kind # a: b", "line 1, column 8: kind: expected key=value"},
		{"unknown pool", "lookup desk finish=1s # a: b", "line 1, column 8: desk: no pool of that name with kind=service"},
		{"bad duration", "lookup desk finish=1 # a: b", "line 1, column 13: finish: must be a positive duration such as 390ms or 20s"},
		{"bad token", "organisation o token=12 # a: b", "line 1, column 16: token: must be a SHA-256 in hex, 64 digits"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.line)
			require.Error(t, err)
			assert.Contains(t, strings.Split(err.Error(), "\n"), c.want)
			var syntaxError *SyntaxError
			assert.True(t, errors.As(err, &syntaxError))
		})
	}
}

func TestParseRejectsADuplicateName(t *testing.T) {
	_, err := Parse("pool p kind=prefill # a: b\npool p kind=decode # a: b")
	assert.EqualError(t, err, "line 2, column 6: p: named twice")
}

func FuzzParse(f *testing.F) {
	f.Add(validRules)
	f.Add("pool p kind=prefill")
	f.Add("\x00 = # : \n=\t=")
	f.Add("organisation o token= rate=-1 rate=NaN # a: b")
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Parse(text)
		if (r == nil) == (err == nil) {
			t.Fatalf("rules %v with error %v", r, err)
		}
		for name, m := range orEmpty(r).Models {
			if r.Pools[m.Prefill].Kind != Prefill || m.Start <= 0 || m.Finish < m.Start {
				t.Fatalf("model %s: %+v", name, m)
			}
		}
	})
}

func orEmpty(r *Rules) *Rules {
	if r == nil {
		return &Rules{}
	}
	return r
}

func BenchmarkParse(b *testing.B) {
	for _, organisations := range []int{100, 500, 1_000, 2_000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			var text strings.Builder
			for i := range organisations {
				fmt.Fprintf(&text, "organisation o%d token=%064x rate=50 burst=20 # ada: contract %d\n", i, i+1, i)
			}
			b.ReportAllocs()
			for range b.N {
				if _, err := Parse(text.String()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
