package splitter

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// split returns all events of a stream and the error that ended it.
func split(r io.Reader) (events []Event, s *Splitter, err error) {
	s = New(r)
	for {
		e, err := s.Next()
		if err != nil {
			return events, s, err
		}
		events = append(events, e)
	}
}

func TestEventsKeepTheirBytesAndHaveTheirIDs(t *testing.T) {
	text := "id: 1\ndata: one\n\nid:2\r\ndata: two\r\n\r\n: ping\n\ndata: three\nid: 3\n\n"
	events, _, err := split(iotest.OneByteReader(strings.NewReader(text)))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, []Event{
		{Bytes: []byte("id: 1\ndata: one\n\n"), ID: "1"},
		{Bytes: []byte("id:2\r\ndata: two\r\n\r\n"), ID: "2"},
		{Bytes: []byte(": ping\n\n"), IsComment: true},
		{Bytes: []byte("data: three\nid: 3\n\n"), ID: "3"},
	}, events)
}

func TestAStreamThatEndsInsideAnEventIsPartial(t *testing.T) {
	for text, rest := range map[string]int{
		"data: x": 7, "data: x\n": 8, "data: x\r": 8, "data: x\r\n\r": 10, "i": 1, ":": 1, ": ping": 6, ": ping\n": 7, "\r": 1,
		"data: one\n\nid: 2\ndata: \xe2\x82": 14, ": ping\ndata: x\n": 15,
		"data: " + strings.Repeat("x", 2*bufferBytes): 6 + 2*bufferBytes,
		": " + strings.Repeat("x", 2*bufferBytes):     2 + 2*bufferBytes,
	} {
		_, s, err := split(strings.NewReader(text))
		var partial *PartialError
		if assert.ErrorAs(t, err, &partial, "%.40q", text) {
			assert.Equal(t, rest, partial.Rest, "%.40q", text)
			assert.Equal(t, rest, s.Rest(), "%.40q", text)
		}
	}
}

func TestAStreamEndsBetweenTwoEvents(t *testing.T) {
	for _, text := range []string{"", "\n", "data: x\n\n: ping\n: ping\r\n\r\n", ": " + strings.Repeat("x", 2*bufferBytes) + "\n\n"} {
		events, s, err := split(strings.NewReader(text))
		assert.ErrorIs(t, err, io.EOF, "%.40q", text)
		assert.Equal(t, text, joined(events))
		assert.Zero(t, s.Rest())
	}
}

func TestAnErrorOfTheStreamIsReturnedWithoutThePartialEvent(t *testing.T) {
	broken := errors.New("reset")
	events, s, err := split(io.MultiReader(strings.NewReader("data: x\n\nid: 2\n"), iotest.ErrReader(broken)))
	assert.ErrorIs(t, err, broken)
	assert.Len(t, events, 1)
	assert.Equal(t, 6, s.Rest())
}

func TestAnEventWithoutAnEndIsTooLong(t *testing.T) {
	var long *TooLongError
	_, _, err := split(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes)))
	assert.ErrorAs(t, err, &long)
}

func joined(events []Event) string {
	var b strings.Builder
	for _, e := range events {
		b.Write(e.Bytes)
	}
	return b.String()
}

// The events are the stream, byte for byte, up to the rest; how the stream is cut into reads changes nothing.
func FuzzSplit(f *testing.F) {
	f.Add("id: 1\ndata: one\n\nid: 2\r\ndata: two\r\n\r\n: ping\n")
	f.Add("data: half an ev")
	f.Add("\n\r\n\r")
	f.Fuzz(func(t *testing.T, text string) {
		events, s, err := split(strings.NewReader(text))
		if s.Rest() > maxEventBytes {
			return
		}
		assert.Equal(t, text[:len(text)-s.Rest()], joined(events))
		assert.Equal(t, s.Rest() > 0, !errors.Is(err, io.EOF))
		again, other, otherErr := split(iotest.OneByteReader(strings.NewReader(text)))
		assert.Equal(t, events, again)
		assert.Equal(t, s.Rest(), other.Rest())
		assert.Equal(t, err, otherErr)
		for _, e := range events[:max(0, len(events)-1)] {
			assert.True(t, strings.HasSuffix(string(e.Bytes), "\n"))
		}
	})
}
