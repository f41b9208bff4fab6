// Package publisher decides which publication of the rule file is in force.
//
// Each node judges each record of the rules stream by the same function of the stream's prefix, so racing operators
// get the same verdict on every host and versions only rise.
package publisher

import (
	"crypto/sha256"
	"strings"
)

// Sum is the SHA-256 of a rule file.
type Sum [sha256.Size]byte

// SumOf returns the checksum of text.
func SumOf(text string) Sum { return sha256.Sum256([]byte(text)) }

// Delta replaces the lines between the first Head and the last Tail lines of a text by Lines.
type Delta struct {
	Head  int
	Tail  int
	Lines []string
}

// Diff returns the delta that turns from into to.
func Diff(from, to string) Delta {
	a, b := splitLines(from), splitLines(to)
	shorter := min(len(a), len(b))
	head := 0
	for head < shorter && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < shorter-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return Delta{Head: head, Tail: tail, Lines: b[head : len(b)-tail]}
}

// Apply returns text changed by d, and false if d does not fit text.
func (d Delta) Apply(text string) (string, bool) {
	lines := splitLines(text)
	if d.Head < 0 || d.Tail < 0 || d.Head+d.Tail > len(lines) {
		return "", false
	}
	var b strings.Builder
	for _, part := range [][]string{lines[:d.Head], d.Lines, lines[len(lines)-d.Tail:]} {
		for _, l := range part {
			b.WriteString(l)
		}
	}
	return b.String(), true
}

// splitLines keeps the line ends, so that joining gives back the same text.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}
