package replica

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

var (
	errUnknownGroup = errors.New("no such group here")
	errNoFirstChunk = errors.New("the snapshot has no first chunk")
)

// Server passes the calls of other replicas to the groups of this process.
type Server struct {
	groups map[uint32]*Group
}

var _ toucanhingev1connect.ReplicaServiceHandler = (*Server)(nil)

// NewServer returns a server for the groups, which are given by their number.
func NewServer(groups map[uint32]*Group) *Server {
	return &Server{groups: groups}
}

// Step enqueues messages for the group. Messages that don't fit into the queue are
// dropped and counted; consensus resends the messages that still matter.
func (s *Server) Step(_ context.Context, r *connect.Request[toucanhingev1.StepRequest]) (*connect.Response[toucanhingev1.StepResponse], error) {
	for _, m := range r.Msg.GetMessages() {
		g := s.groups[m.GetGroup()]
		if g == nil {
			return nil, connect.NewError(connect.CodeNotFound, errUnknownGroup)
		}
		g.inbox.Offer(inboxItem{message: fromWire(r.Msg, m), address: r.Msg.GetAddress()})
	}
	return connect.NewResponse(&toucanhingev1.StepResponse{}), nil
}

// InstallSnapshot receives a snapshot and installs it.
func (s *Server) InstallSnapshot(ctx context.Context, stream *connect.ClientStream[toucanhingev1.SnapshotChunk]) (*connect.Response[toucanhingev1.InstallSnapshotResponse], error) {
	if !stream.Receive() {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNoFirstChunk)
	}
	header := stream.Msg()
	g := s.groups[header.GetGroup()]
	if g == nil {
		return nil, connect.NewError(connect.CodeNotFound, errUnknownGroup)
	}
	if err := g.receiveSnapshot(ctx, header, stream); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("install snapshot: %w", err))
	}
	return connect.NewResponse(&toucanhingev1.InstallSnapshotResponse{Installed: true}), nil
}
