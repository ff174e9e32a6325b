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

// messageBytes is about how much one message of the stream holds.
const messageBytes = 256 << 10

// ReadResults streams what is decided, in item order. Undecided items are left
// out: the index tells. Losing attempts never reach the results' files, so there
// is nothing to filter and nothing to hold back.
func (h *Handler) ReadResults(
	ctx context.Context, request *connect.Request[toucanhingev1.ReadResultsRequest],
	stream *connect.ServerStream[toucanhingev1.ReadResultsResponse],
) error {
	asked := request.Msg
	g, err := h.lead(placeResults, asked.GetId())
	if err != nil {
		return err
	}
	if err := g.Read(ctx); err != nil {
		return h.config.Refuser.Refuse(placeResults, err)
	}
	for from := asked.GetFrom(); ; {
		page, err := g.Machine.Results(asked.GetTeam(), asked.GetId(), from)
		if err != nil {
			return h.unread(asked.GetId(), err)
		}
		if page.Next <= from {
			return nil
		}
		from = page.Next
		results, err := readPage(g, page.Decided)
		if err != nil {
			return h.unread(asked.GetId(), err)
		}
		if err := send(results, stream); err != nil {
			return err
		}
	}
}

// unread tells a job that retention dropped, maybe under the reader, from
// damaged files.
func (h *Handler) unread(id string, err error) error {
	if errors.Is(err, jobstate.ErrNoJob) || errors.Is(err, segment.ErrGone) {
		return h.noJob(placeResults, id, jobstate.ErrNoJob)
	}
	return h.config.Refuser.RefuseWith(placeResults, reasonStorage, connect.CodeDataLoss, "read results: %w", err)
}

func send(results []*toucanhingev1.Result, stream *connect.ServerStream[toucanhingev1.ReadResultsResponse]) error {
	response := &toucanhingev1.ReadResultsResponse{}
	size := 0
	for _, result := range results {
		response.Results = append(response.Results, result)
		size += len(result.GetBody()) + stepBytes
		if size < messageBytes {
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
	var bodies, places []segment.Ref
	for _, d := range page {
		bodies, places = append(bodies, d.Body), append(places, d.Result)
	}
	payloads, err := g.Machine.ReadResults(places)
	if err != nil {
		return nil, err
	}
	items, err := g.Machine.ReadItems(bodies)
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
