package daemon

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/parser"
	"github.com/hornbeamspan/hornbeamspan/transport/eventlogger"
)

func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	for _, o := range Options {
		assert.Contains(t, string(page), fmt.Sprintf("| `--%s` |", o.Name))
		assert.Contains(t, string(page), o.Doc)
	}
}

func TestEveryEventIsInTheCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	seen := make(map[int]bool)
	for _, e := range eventlogger.Events {
		assert.Contains(t, string(page), fmt.Sprintf("| %d | %s |", e.Number, e.Text))
		assert.False(t, seen[e.Number])
		seen[e.Number] = true
	}
}

func TestTheRuleFileInTheDocsIsValid(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/rules.md")
	require.NoError(t, err)
	example := regexp.MustCompile("(?s)```\n(pool.*?)```").FindSubmatch(page)
	require.NotNil(t, example)
	rules, err := parser.Parse(string(example[1]))
	require.NoError(t, err)
	assert.Contains(t, rules.Models, "writer")
}
