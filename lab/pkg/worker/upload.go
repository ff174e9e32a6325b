package worker

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/control"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// itemsPerMessage is the number of items in one message of an upload stream.
const itemsPerMessage = 500

// Upload uploads a job to the leader of its group, as a gateway does. A retry after a lost
// response creates no second job, since the idempotency key is the same.
func Upload(
	ctx context.Context, client *control.Client, group uint32, header *toucanhingev1.UploadHeader,
	count int, item func(n int) *toucanhingev1.Item,
) (*toucanhingev1.UploadResponse, error) {
	response, err := control.Call(ctx, client, group, "upload",
		func(_ context.Context, r *control.Replica) (*connect.Response[toucanhingev1.UploadResponse], error) {
			// A long upload exceeds the client's timeout for one attempt, so it runs
			// under the context of the caller.
			return uploadOnce(ctx, r, header, count, item)
		})
	if err != nil {
		return nil, fmt.Errorf("upload %s: %w", header.GetKey(), err)
	}
	return response.Msg, nil
}

func uploadOnce(
	ctx context.Context, r *control.Replica, header *toucanhingev1.UploadHeader,
	count int, item func(n int) *toucanhingev1.Item,
) (*connect.Response[toucanhingev1.UploadResponse], error) {
	stream := r.Jobs.Upload(ctx)
	send := func(part *toucanhingev1.UploadRequest) bool { return stream.Send(part) == nil }
	ok := send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Header{Header: header}})
	for first := 0; ok && first < count; first += itemsPerMessage {
		items := &toucanhingev1.UploadItems{}
		for n := first; n < min(first+itemsPerMessage, count); n++ {
			items.Items = append(items.Items, item(n))
		}
		ok = send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Items{Items: items}})
	}
	if ok {
		end := &toucanhingev1.UploadEnd{Count: uint64(count)}
		send(&toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_End{End: end}})
	}
	// After a failed send, the response of the stream carries the reason.
	return stream.CloseAndReceive()
}
