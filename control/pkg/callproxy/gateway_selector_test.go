package callproxy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestGatewaySelector(t *testing.T) {
	near, alsoNear, far := Gateway{"a", "here"}, Gateway{"b", "here"}, Gateway{"c", "there"}
	for _, c := range []struct {
		name     string
		gateways []Gateway
		prepare  func(*gatewaySelector)
		want     string
	}{
		{"same data centre first", []Gateway{far, near}, nil, "a"},
		{"other data centre as fallback", []Gateway{far}, nil, "c"},
		{"fewest calls first", []Gateway{near, alsoNear}, func(s *gatewaySelector) { s.calls["a"] = 3 }, "b"},
		{"same data centre before fewest calls", []Gateway{far, near}, func(s *gatewaySelector) { s.calls["a"] = 3 }, "a"},
		{"blocked gateway excluded", []Gateway{near, far}, func(s *gatewaySelector) { s.block(9, "a") }, "c"},
		{"block expired", []Gateway{near, far}, func(s *gatewaySelector) { s.block(10-blockDuration, "a") }, "a"},
		{"no gateway", nil, nil, ""},
		{"all gateways blocked", []Gateway{near}, func(s *gatewaySelector) { s.block(9, "a") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newGatewaySelector()
			if c.prepare != nil {
				c.prepare(s)
			}
			address, found := s.acquire(10, c.gateways, "here", 0)
			require.Equal(t, c.want, address)
			require.Equal(t, c.want != "", found)
		})
	}
}

// The loss of a gateway breaks all calls that it proxies, so calls must be spread evenly over the gateways of a
// data centre.
func TestGatewaySelectorSpreadsAndReleasesCalls(t *testing.T) {
	s := newGatewaySelector()
	gateways := []Gateway{{"a", "here"}, {"b", "here"}, {"c", "there"}}
	for range 6 {
		_, found := s.acquire(0, gateways, "here", 0)
		require.True(t, found)
	}
	require.Equal(t, map[string]int{"a": 3, "b": 3}, s.calls)
	for range 3 {
		s.release("a")
		s.release("b")
	}
	require.Empty(t, s.calls)
}
