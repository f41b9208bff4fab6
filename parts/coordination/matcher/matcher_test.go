package matcher

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

func table() *Table {
	return New(7, Limits{}, []Route{
		{Name: "root", Host: "Shop.Example", Prefix: "/"},
		{Name: "short", Host: "shop.example", Prefix: "/a/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "other", Host: "other.example", Prefix: "/a/b/c/"},
	}, []Service{{Name: "desk"}})
}

func TestTheLongestPrefixOfAHostIsMatched(t *testing.T) {
	assert.Equal(t, "long", table().Match("shop.example", "/a/b/c/d").Name)
	assert.Equal(t, "short", table().Match("shop.example", "/a/x").Name)
	assert.Equal(t, "root", table().Match("shop.example", "/ab").Name)
}

func TestAHostIsMatchedWithoutPortAndCase(t *testing.T) {
	assert.Equal(t, "long", table().Match("SHOP.example:8080", "/a/b/").Name)
}

func TestAnUnknownHostHasNoRoute(t *testing.T) {
	assert.Nil(t, table().Match("nowhere.example", "/a/b/"))
	assert.Nil(t, table().Match("other.example", "/a/b/"))
}

func TestServicesArePickedByWeight(t *testing.T) {
	r := Route{Targets: []Target{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "off"}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range 10000 {
		counts[r.PickService(random)]++
	}
	assert.InDelta(t, 9000, counts["old"], 200)
	assert.InDelta(t, 1000, counts["new"], 200)
	assert.Zero(t, counts["off"])
	assert.Empty(t, (&Route{}).PickService(random))
}
