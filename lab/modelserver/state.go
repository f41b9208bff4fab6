// Package modelserver simulates a model engine in the prefill or the decode role.
package modelserver

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// InFlightRequest is a request, or a stored prefill result, that occupies an engine.
type InFlightRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
	Blocks  int    `json:"blocks"`
}

// State is a snapshot of the load, requests and counters of an engine.
type State struct {
	Load     completer.Load    `json:"load"`
	Requests []InFlightRequest `json:"flights"`
	Counts   Counts            `json:"counts"`
}

// Counts are counters since the engine's start. Prefilled counts computed prompt tokens, Wasted those of them that no
// decode engine fetched.
type Counts struct {
	Prefilled int `json:"prefilled"`
	Cached    int `json:"cached"`
	Wasted    int `json:"wasted"`
	Decoded   int `json:"decoded"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
}

// Text is the seed of the answer to a prompt. Answers are deterministic, so that tests can verify them.
type Text [sha256.Size]byte

// TextOf returns the seed of the answer to prompt.
func TextOf(prompt string) Text { return sha256.Sum256([]byte(prompt)) }

// Token returns the token at position, 8 hexadecimal digits and a space.
func (t Text) Token(position int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d|%x", position, t[:]))
	return hex.EncodeToString(sum[:4]) + " "
}

// Answer returns the expected answer of n tokens to prompt.
func Answer(prompt string, n int) string {
	text := TextOf(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(text.Token(i))
	}
	return b.String()
}
