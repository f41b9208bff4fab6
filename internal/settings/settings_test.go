package settings

import (
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var options = []Option{
	{Name: "host-period", Default: "1s", Doc: "period"},
	{Name: "size", Default: "3", Doc: "size"},
	{Name: "address", Default: "127.0.0.1:1", Doc: "address"},
}

func reader(t *testing.T, args ...string) *Reader {
	cmd := &cobra.Command{Use: "test", RunE: func(*cobra.Command, []string) error { return nil }}
	r := Add(cmd, "TEST", options)
	cmd.SetArgs(args)
	require.NoError(t, cmd.Execute())
	return r
}

func TestFlagsOverrideTheEnvironmentWhichOverridesDefaults(t *testing.T) {
	t.Setenv("TEST_HOST_PERIOD", "2s")
	t.Setenv("TEST_SIZE", "7")
	r := reader(t, "--size=9")
	assert.Equal(t, 2*time.Second, r.Duration("host-period", 0))
	assert.Equal(t, 9, r.Integer("size", 0, 10))
	assert.NoError(t, r.Err())
}

func TestAllInvalidValuesAreReportedAtOnce(t *testing.T) {
	r := reader(t, "--size=11", "--host-period=soon", "--address=home")
	r.Duration("host-period", 0)
	r.Integer("size", 0, 10)
	r.Address("address")
	assert.EqualError(t, r.Err(), `settings: unable to use --host-period="soon": expected a duration of 0s or more, such as 500ms or 2s
settings: unable to use --size="11": expected an integer from 0 to 10
settings: unable to use --address="home": expected an IP address and a port, such as 127.0.0.1:8100`)
	var invalid *ValueError
	assert.ErrorAs(t, r.Err(), &invalid)
}
