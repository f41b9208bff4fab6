package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/budgeter"
)

const (
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
	// uncountedAnswerBytes of each answer do not count against the shared limit, so that answers of usual size are read even
	// when the limit is reached.
	uncountedAnswerBytes = 8 << 10
	// defaultBufferBytes is the shared limit if none is configured.
	defaultBufferBytes = 64 << 20
)

// TooLongError reports an answer that was not read to its end because it is too long. Read is in bytes.
type TooLongError struct {
	Read int
}

func (e *TooLongError) Error() string {
	return fmt.Sprintf("sender: unable to read an answer: it is longer than %d bytes", maxAnswerBytes)
}

// holding is the memory of the answers to one job, until its caller has one of them.
type holding struct {
	mu         sync.Mutex
	accounts   []*budgeter.Account
	isReleased bool
}

// add closes the account if the memory was released already, as by an answer that came before.
func (h *holding) add(a *budgeter.Account) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isReleased {
		a.Close()
		return
	}
	h.accounts = append(h.accounts, a)
}

func (h *holding) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.accounts {
		a.Close()
	}
	h.accounts, h.isReleased = nil, true
}

// Release frees the memory of the answers to a job. Their bodies must not be used any more.
func (s *Sender) Release(j *Job) { j.answers.release() }

// answerBuffer holds an answer while it is read.
type answerBuffer struct {
	account *budgeter.Account
	// wait returns the context in which the rest of the answer waits for room. It is called before the first wait; nil if the answer
	// is passed on instead.
	wait func() context.Context
	body []byte
}

// read reads an answer of n bytes, or of unknown length if n is negative. isWhole is false if there is no room and no wait. The error
// is a *TooLongError, a *budgeter.NoRoomError, or that of r.
func (a *answerBuffer) read(r io.Reader, n int64) (isWhole bool, err error) {
	if n > maxAnswerBytes {
		return false, &TooLongError{}
	}
	if n >= 0 {
		if hasRoom, err := a.grow(int(n)); !hasRoom || err != nil {
			return false, err
		}
		a.body = a.body[:n]
		read, err := io.ReadFull(r, a.body)
		if errors.Is(err, io.EOF) { // before the first byte
			err = io.ErrUnexpectedEOF
		}
		a.body = a.body[:read]
		return err == nil, err
	}
	for {
		if len(a.body) == cap(a.body) {
			if hasRoom, err := a.grow(min(max(uncountedAnswerBytes, 2*cap(a.body)), maxAnswerBytes+1)); !hasRoom || err != nil {
				return false, err
			}
		}
		read, err := r.Read(a.body[len(a.body):cap(a.body)])
		a.body = a.body[:len(a.body)+read]
		switch {
		case len(a.body) > maxAnswerBytes:
			return false, &TooLongError{Read: len(a.body)}
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// grow extends the capacity to n bytes.
func (a *answerBuffer) grow(n int) (hasRoom bool, err error) {
	need := int64(max(n, uncountedAnswerBytes) - max(cap(a.body), uncountedAnswerBytes))
	if need > 0 && !a.account.TryTake(need) {
		if a.wait == nil {
			return false, nil
		}
		if err := a.account.Take(a.wait(), need); err != nil {
			return false, err
		}
	}
	body := make([]byte, len(a.body), n)
	copy(body, a.body)
	a.body = body
	return true, nil
}
