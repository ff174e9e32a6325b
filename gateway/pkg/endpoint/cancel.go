package endpoint

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// maxPendingCancels limits the cancels that wait to be sent. A dropped cancel only occupies a slot
	// until the sidecar ends the run by itself, some time after its reader disconnected.
	maxPendingCancels = 4_096
	cancelWorkers     = 8
)

// pendingCancel is a cancel of one attempt that waits to be sent.
type pendingCancel struct {
	address string
	request *toucanhingev1.CancelRequest
}

// Cancel queues a cancel of an attempt for its sidecar. Closing the stream does not cancel the
// attempt, because a sidecar continues the run of a lost stream so that it can be resumed.
func (d *Directory) Cancel(address, request string, attempt uint32) {
	d.cancels.Offer(pendingCancel{
		address: address, request: &toucanhingev1.CancelRequest{RequestId: request, Attempt: attempt},
	})
}

// SendCancels sends queued cancels until the context ends.
func (d *Directory) SendCancels(ctx context.Context) {
	var workers sync.WaitGroup
	for range cancelWorkers {
		workers.Add(1)
		go func() {
			defer workers.Done()
			d.sendCancels(ctx)
		}()
	}
	workers.Wait()
}

func (d *Directory) sendCancels(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-d.cancels.Items():
			callCtx, cancel := context.WithTimeout(ctx, d.config.PollTimeout.Duration())
			// A sidecar that can't be reached ends the run by itself later.
			_, _ = d.Client(c.address).Cancel(callCtx, connect.NewRequest(c.request))
			cancel()
		}
	}
}
