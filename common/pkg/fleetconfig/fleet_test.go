package fleetconfig

import (
	"testing"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func member(name, vm string, state toucanhingev1.MemberState) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_MEMBER, Name: name,
		Body: &toucanhingev1.Entry_Member{Member: &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_SIDECAR, Vm: vm, Service: "s", State: state,
		}},
	}
}

func TestWithAppliesChanges(t *testing.T) {
	first := Empty().With(3, true, []*toucanhingev1.Entry{
		member("b", "vm1", toucanhingev1.MemberState_MEMBER_STATE_READY),
		member("a", "vm2", toucanhingev1.MemberState_MEMBER_STATE_READY),
	})
	require.Equal(t, "a", first.Endpoints("s")[0].Name)
	gone := member("a", "", 0)
	gone.Removed = true
	second := first.With(4, false, []*toucanhingev1.Entry{
		gone,
		{Kind: toucanhingev1.Kind_KIND_DRAIN, Name: "vm1", Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{}}},
	})
	require.Len(t, first.Endpoints("s"), 2, "an older version must not change")
	require.Len(t, second.Endpoints("s"), 1)
	require.True(t, second.Endpoints("s")[0].Draining, "the endpoint of a drained VM is draining")
}

func TestContractAllows(t *testing.T) {
	scenarios := []struct {
		name    string
		centres []string
		centre  string
		allowed bool
	}{
		{"empty list allows all", nil, "agdal", true},
		{"listed", []string{"agdal"}, "agdal", true},
		{"not listed", []string{"agdal"}, "temara", false},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := Contract{Contract: &toucanhingev1.Contract{DataCentres: s.centres}}
			require.Equal(t, s.allowed, c.Allows(s.centre))
		})
	}
}
