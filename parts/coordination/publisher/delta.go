// Package publisher decides which publication of the rule file is in force.
//
// Every host evaluates the records of the rules stream with the same deterministic function of the stream's prefix, so
// concurrent publications have the same outcome on all hosts and versions only increase.
package publisher

import (
	"crypto/sha256"
	"strings"
)

// Sum is the SHA-256 checksum of a rule file.
type Sum [sha256.Size]byte

// SumOf returns the SHA-256 checksum of text.
func SumOf(text string) Sum { return sha256.Sum256([]byte(text)) }

// Delta replaces the lines between the first Head lines and the last Tail lines of a text with Lines.
type Delta struct {
	Head  int
	Tail  int
	Lines []string
}

// Diff returns the delta that changes from into to. It keeps the longest common prefix and suffix of lines.
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

// Apply returns the changed text, and false if text has fewer lines than d keeps.
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

// splitLines keeps the line endings, so that joining the lines restores the text.
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
