package launcher

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTwoProcessesThatStartAtTheSamePortNeverGiveOutTheSameOne(t *testing.T) {
	one, other := portAllocator{next: firstPort}, portAllocator{next: firstPort}
	given := make(map[netip.AddrPort]bool)
	for range 20 {
		for _, a := range []*portAllocator{&one, &other} {
			address, err := a.allocate()
			require.NoError(t, err)
			require.False(t, given[address], "%s was given out twice", address)
			given[address] = true
		}
	}
}
