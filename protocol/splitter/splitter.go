// Package splitter splits an event stream into whole events, without changing a byte of it.
package splitter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
)

const (
	// bufferBytes is the size of the read buffer; most events are smaller.
	bufferBytes = 4 << 10
	// maxEventBytes bounds one event; a longer one counts as a broken stream.
	maxEventBytes = 64 << 10
)

// Event is one event of a stream. Its lines end with LF or CR LF, its last line is empty.
type Event struct {
	Bytes []byte
	// ID is the last ID in the event, empty if it has none.
	ID string
	// IsComment is set if the event has comments only, which readers of the stream ignore.
	IsComment bool
}

// TooLongError reports an event that is longer than maxEventBytes.
type TooLongError struct {
	Read int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("splitter: unable to read event: expected its end, got %d bytes without one", e.Read)
}

// PartialError reports a stream that ended inside an event. Rest is the number of bytes after the last whole event.
type PartialError struct {
	Rest int
}

func (e *PartialError) Error() string {
	return fmt.Sprintf("splitter: unable to read event: the stream ended inside it, after %d bytes", e.Rest)
}

// Splitter reads the events of one stream. It is not safe for concurrent use.
type Splitter struct {
	r    *bufio.Reader
	rest int
}

// New returns a Splitter for the stream r.
func New(r io.Reader) *Splitter { return &Splitter{r: bufio.NewReaderSize(r, bufferBytes)} }

// Rest returns the number of bytes after the last whole event, once Next has returned an error.
func (s *Splitter) Rest() int { return s.rest }

// Next returns the next event. The error is io.EOF if the stream has ended between two events, a *PartialError if it has ended
// inside one, a *TooLongError or the error of the stream.
func (s *Splitter) Next() (Event, error) {
	e := Event{IsComment: true}
	isLineStart := true
	for {
		line, err := s.r.ReadSlice('\n')
		e.Bytes = append(e.Bytes, line...)
		s.rest = len(e.Bytes)
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case s.rest > maxEventBytes:
			return Event{}, &TooLongError{Read: s.rest}
		case errors.Is(err, io.EOF) && s.rest > 0:
			return Event{}, &PartialError{Rest: s.rest}
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return Event{}, err
		case isLineStart && len(text) > 0 && text[0] != ':':
			e.IsComment = false
		}
		if err != nil {
			isLineStart = false
			continue
		}
		if isLineStart && len(text) == 0 {
			s.rest = 0
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok && isLineStart {
			e.ID = strings.TrimSpace(string(value))
		}
		isLineStart = true
	}
}
