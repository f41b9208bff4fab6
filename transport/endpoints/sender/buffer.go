package sender

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxAnswer bounds the bytes of an answer that is passed on whole.
	maxAnswerBytes = 16 << 20
	// uncountedBytes of each answer do not count against the bound on all of them, so that answers of usual size are read
	// whatever others do.
	uncountedAnswerBytes = 64 << 10
	// readStep is the number of bytes that are read before the bounds are looked at again.
	readChunkBytes = 32 << 10
	// defaultBufferBytes bounds the answers under way together where no bound is set.
	defaultBufferBytes = 64 << 20
)

// TooLongError reports an answer that was given up because it would not end, in bytes.
type TooLongError struct {
	Read int
	// IsShared tells that all answers together were too long, not this one alone.
	IsShared bool
}

func (e *TooLongError) Error() string {
	if e.IsShared {
		return fmt.Sprintf("sender: an answer was given up after %d bytes: too many long ones are under way", e.Read)
	}
	return fmt.Sprintf("sender: an answer is longer than %d bytes", maxAnswerBytes)
}

// buffers bounds the memory of all answers that are being read.
type buffers struct {
	limit int64
	used  atomic.Int64
}

// readAll reads a whole answer. The error is a *TooLongError, or what broke the answer off.
func (b *buffers) readAll(r io.Reader) ([]byte, error) {
	var answer bytes.Buffer
	counted := int64(0)
	defer func() { b.used.Add(-counted) }()
	for {
		n, err := io.CopyN(&answer, r, readChunkBytes)
		if answer.Len() > maxAnswerBytes {
			return nil, &TooLongError{Read: answer.Len()}
		}
		if errors.Is(err, io.EOF) {
			return answer.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if answer.Len() <= uncountedAnswerBytes {
			continue
		}
		counted += n
		if b.used.Add(n) > b.limit {
			return nil, &TooLongError{Read: answer.Len(), IsShared: true}
		}
	}
}
