package entry

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/segment"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// responseBytes is the approximate size of one message of the stream.
const responseBytes = 256 << 10

// ReadResults streams the results of decided items in item order. It leaves out
// undecided items, which the client recognizes by the missing indexes. Only an
// attempt that decides its item writes to the result files, so no result is filtered.
func (h *Handler) ReadResults(
	ctx context.Context, request *connect.Request[toucanhingev1.ReadResultsRequest],
	stream *connect.ServerStream[toucanhingev1.ReadResultsResponse],
) error {
	msg := request.Msg
	g, err := h.leaderGroup(opResults, msg.GetId())
	if err != nil {
		return err
	}
	if err := g.Read(ctx); err != nil {
		return h.config.Refuser.Refuse(opResults, err)
	}
	for from := msg.GetFrom(); ; {
		page, err := g.Machine.Results(msg.GetTeam(), msg.GetId(), from)
		if err != nil {
			return h.readError(msg.GetId(), err)
		}
		if page.Next <= from {
			return nil
		}
		from = page.Next
		results, err := readPage(g, page.Decided)
		if err != nil {
			return h.readError(msg.GetId(), err)
		}
		if err := sendResults(results, stream); err != nil {
			return err
		}
	}
}

// readError distinguishes a job that retention dropped, possibly during the read, from
// damaged files.
func (h *Handler) readError(id string, err error) error {
	if errors.Is(err, jobstate.ErrNoJob) || errors.Is(err, segment.ErrGone) {
		return h.noJobError(opResults, id, jobstate.ErrNoJob)
	}
	return h.config.Refuser.RefuseWith(opResults, reasonStorage, connect.CodeDataLoss, "read results: %w", err)
}

func sendResults(results []*toucanhingev1.Result, stream *connect.ServerStream[toucanhingev1.ReadResultsResponse]) error {
	response := &toucanhingev1.ReadResultsResponse{}
	size := 0
	for _, result := range results {
		response.Results = append(response.Results, result)
		size += len(result.GetBody()) + approxStepBytes
		if size < responseBytes {
			continue
		}
		if err := stream.Send(response); err != nil {
			return err
		}
		response, size = &toucanhingev1.ReadResultsResponse{}, 0
	}
	if len(response.Results) == 0 {
		return nil
	}
	return stream.Send(response)
}

func readPage(g *group.Jobs, page []jobstate.Decided) ([]*toucanhingev1.Result, error) {
	var itemRefs, resultRefs []segment.Ref
	for _, d := range page {
		itemRefs, resultRefs = append(itemRefs, d.Body), append(resultRefs, d.Result)
	}
	payloads, err := g.Machine.ReadResults(resultRefs)
	if err != nil {
		return nil, err
	}
	items, err := g.Machine.ReadItems(itemRefs)
	if err != nil {
		return nil, err
	}
	results := make([]*toucanhingev1.Result, 0, len(page))
	for n := range page {
		result, item := &toucanhingev1.Result{}, &toucanhingev1.Item{}
		if err := proto.Unmarshal(payloads[n], result); err != nil {
			return nil, fmt.Errorf("decode the result: %w", err)
		}
		if err := proto.Unmarshal(items[n], item); err != nil {
			return nil, fmt.Errorf("decode the item: %w", err)
		}
		result.CustomId = item.GetCustomId()
		results = append(results, result)
	}
	return results, nil
}
