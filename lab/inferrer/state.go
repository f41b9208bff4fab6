// Package inferrer is a small stand-in for a model engine in the prefill or the decode role.
package inferrer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/hornbeamspan/hornbeamspan/protocol/completer"
)

// Flight is one request that holds something on an engine.
type InFlightRequest struct {
	ID      string `json:"id"`
	Attempt uint64 `json:"attempt"`
	Blocks  int    `json:"blocks"`
}

// State is what an engine holds at this moment, and its counts since the start.
type State struct {
	Load     completer.Load    `json:"load"`
	Requests []InFlightRequest `json:"flights"`
	Counts   Counts            `json:"counts"`
}

// Counts add up since the engine's start. Prefilled are computed prompt tokens, Wasted those of them never used by a decode.
type Counts struct {
	Prefilled int `json:"prefilled"`
	Cached    int `json:"cached"`
	Wasted    int `json:"wasted"`
	Decoded   int `json:"decoded"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
}

// Text is the made-up text that an engine answers a prompt with, so that anyone can check an answer.
type Text [sha256.Size]byte

// TextOf returns the text for prompt.
func TextOf(prompt string) Text { return sha256.Sum256([]byte(prompt)) }

// Token returns the token at position.
func (t Text) Token(position int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d|%x", position, t[:]))
	return hex.EncodeToString(sum[:4]) + " "
}

// Answer returns the whole answer of n tokens for prompt.
func Answer(prompt string, n int) string {
	text := TextOf(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(text.Token(i))
	}
	return b.String()
}
