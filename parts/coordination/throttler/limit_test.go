package throttler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func TestOnlyAnAnswerToALaterRequestWithdrawsALimit(t *testing.T) {
	limited := Limit{IsSet: true, PerSecond: 5, ObservedAt: at(10)}
	none := Limit{ObservedAt: at(11)}
	assert.Equal(t, limited, limited.Answer(none, at(9)), "the request was sent before the limit was observed")
	assert.Equal(t, none, limited.Answer(none, at(10.5)))
}

func TestAnEndpointWithoutALimitIsNotUpdatedByEachAnswer(t *testing.T) {
	assert.Equal(t, Limit{}, Limit{}.Answer(Limit{ObservedAt: at(1)}, at(0)))
}

func TestTheNewestStatementApplies(t *testing.T) {
	older, newer := Limit{IsSet: true, PerSecond: 5, ObservedAt: at(1)}, Limit{IsSet: true, PerSecond: 2, ObservedAt: at(2)}
	assert.Equal(t, newer, older.Answer(newer, at(0)))
	assert.Equal(t, newer, newer.Merge(older))
	assert.True(t, older.IsSame(Limit{IsSet: true, PerSecond: 5, ObservedAt: at(9)}))
	assert.False(t, older.IsSame(newer))
	assert.True(t, Limit{PerSecond: 1}.IsSame(Limit{}))
}
