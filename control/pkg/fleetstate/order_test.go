package fleetstate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestOrderRemainsAfterEndpointIsForgotten removes a dead endpoint, which then registers
// again under its name. The operator's order must still apply: removing it together with the
// member would revert an accepted change.
func TestOrderRemainsAfterEndpointIsForgotten(t *testing.T) {
	m := NewMachine(MachineConfig{Fatal: func(err error) { require.NoError(t, err) }})
	step := func(s *toucanhingev1.FleetStep) any {
		command, err := proto.Marshal(&toucanhingev1.FleetCommand{AtMs: 1_000, Steps: []*toucanhingev1.FleetStep{s}})
		require.NoError(t, err)
		return m.Apply(0, command).([]any)[0]
	}
	beat := &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Member{Member: &toucanhingev1.MemberStep{
		Name: "runner-1",
		Member: &toucanhingev1.Member{
			Role: toucanhingev1.Role_ROLE_SIDECAR, Incarnation: 1, State: toucanhingev1.MemberState_MEMBER_STATE_READY,
		},
	}}}
	end := func(forget bool) *toucanhingev1.FleetStep {
		return &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_MemberEnd{
			MemberEnd: &toucanhingev1.MemberEndStep{Name: "runner-1", Incarnation: 1, Forget: forget},
		}}
	}
	step(beat)
	order := &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_ORDER, Name: "runner-1",
		Body: &toucanhingev1.Entry_Order{Order: &toucanhingev1.Order{
			Endpoint: "runner-1", Kind: toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL, Model: "m",
		}},
	}
	applied := step(&toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_Apply{
		Apply: &toucanhingev1.ApplyStep{Request: &toucanhingev1.ApplyRequest{RequestId: "r", Entry: order}},
	}}).(*toucanhingev1.ApplyResponse)
	require.True(t, applied.GetAccepted(), applied.GetReason())
	require.True(t, step(end(false)).(MemberEndResult).Changed)
	require.True(t, step(end(true)).(MemberEndResult).Changed)
	step(beat)
	m.View(func(s *State) {
		_, found := s.Entry(toucanhingev1.Kind_KIND_ORDER, "runner-1")
		require.True(t, found)
	})
}
