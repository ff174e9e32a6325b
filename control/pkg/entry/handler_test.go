package entry

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestUploadWaitsForContract checks that an upload is not refused if its contract
// reaches this replica late. A gateway may apply a new contract and forward an upload
// before this replica, a follower in group 0, has applied the contract.
func TestUploadWaitsForContract(t *testing.T) {
	machine := fleetstate.NewMachine(fleetstate.MachineConfig{})
	h := New(Config{Fleet: group.NewFleet(group.Group{}, machine, clock.System(), nil)})
	header := &toucanhingev1.UploadHeader{Team: "agence", Service: "svc"}
	_, err := h.requireContract(context.Background(), header)
	require.Equal(t, connect.CodePermissionDenied, connect.CodeOf(err))

	permitted := make(chan error)
	go func() {
		_, err := h.requireContract(context.Background(), header)
		permitted <- err
	}()
	for i, e := range []*toucanhingev1.Entry{
		{Kind: toucanhingev1.Kind_KIND_SERVICE, Name: "svc", Body: &toucanhingev1.Entry_Service{
			Service: &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN},
		}},
		{Kind: toucanhingev1.Kind_KIND_TEAM, Name: "agence", Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{}}},
		{Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: "c", Body: &toucanhingev1.Entry_Contract{
			Contract: &toucanhingev1.Contract{Team: "agence", Service: "svc", Batch: true},
		}},
	} {
		command, err := proto.Marshal(&toucanhingev1.FleetCommand{Steps: []*toucanhingev1.FleetStep{{Step: &toucanhingev1.FleetStep_Apply{
			Apply: &toucanhingev1.ApplyStep{Request: &toucanhingev1.ApplyRequest{RequestId: string(rune('a' + i)), Entry: e}},
		}}}})
		require.NoError(t, err)
		machine.Apply(0, command)
	}
	require.NoError(t, <-permitted)
}
