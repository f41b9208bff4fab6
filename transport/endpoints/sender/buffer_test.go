package sender

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endless yields bytes as long as it is read.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Two hundred endpoints send bytes without end at once to a host with 120 MB, an eighth of it for answers.
func TestAnswersWithoutEndTakeBoundedMemoryAndSmallOnesAreReadMeanwhile(t *testing.T) {
	const most = 120 << 20 / 8
	b := &buffers{limit: most}
	var wait sync.WaitGroup
	for range 200 {
		wait.Go(func() {
			_, err := b.readAll(endless{})
			var long *TooLongError
			assert.ErrorAs(t, err, &long)
			assert.LessOrEqual(t, b.used.Load(), int64(most+200*readChunkBytes))
		})
		wait.Go(func() {
			body, err := b.readAll(strings.NewReader("small"))
			assert.NoError(t, err)
			assert.Equal(t, "small", string(body))
		})
	}
	wait.Wait()
	assert.Zero(t, b.used.Load())
}

func TestAnAnswerIsReadWholeUpToTheBound(t *testing.T) {
	b := &buffers{limit: 2 * maxAnswerBytes}
	for _, n := range []int{0, 1, uncountedAnswerBytes, uncountedAnswerBytes + 1, maxAnswerBytes} {
		body, err := b.readAll(bytes.NewReader(make([]byte, n)))
		require.NoError(t, err)
		assert.Len(t, body, n)
	}
	_, err := b.readAll(bytes.NewReader(make([]byte, maxAnswerBytes+1)))
	var long *TooLongError
	require.ErrorAs(t, err, &long)
	assert.False(t, long.IsShared)
}

func TestAnAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	b := &buffers{limit: maxAnswerBytes}
	_, err := b.readAll(io.MultiReader(strings.NewReader("half"), brokenReader{}))
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
