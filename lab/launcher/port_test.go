package launcher

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTwoAllocatorsWithTheSameFirstPortNeverReturnTheSamePort(t *testing.T) {
	first, second := portAllocator{next: firstPort}, portAllocator{next: firstPort}
	returned := make(map[netip.AddrPort]bool)
	for range 20 {
		for _, a := range []*portAllocator{&first, &second} {
			address, err := a.allocate()
			require.NoError(t, err)
			require.False(t, returned[address], "%s was returned twice", address)
			returned[address] = true
		}
	}
}
