package hostrunner

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The port of a starting host was looked up and released, and another process took it before the host listened.
func TestAFreePortStaysReservedUntilItsListenerStarts(t *testing.T) {
	b, err := bind(anyPort)
	require.NoError(t, err)
	defer b.close()
	_, err = net.Listen("tcp", b.String())
	assert.Error(t, err)
}
