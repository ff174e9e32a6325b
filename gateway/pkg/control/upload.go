package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// maxChunkItems and maxChunkBytes bound one message of an upload.
	maxChunkItems = 512
	maxChunkBytes = 256 << 10
	// maxReplayBytes is the size up to which an upload is retained for a restart at another replica, because the
	// body of the caller can't be read a second time. A replica that is not the leader refuses the upload well
	// before this size.
	maxReplayBytes = 2 << 20
	// maxUploadAttempts and uploadRetryInterval bound the search for the leader.
	maxUploadAttempts   = 30
	uploadRetryInterval = 100 * time.Millisecond
)

// ErrLeaderMoved ends an upload whose leader was lost after more was sent than is retained. Nothing of the upload is
// visible, so a resend with the same key is harmless.
var ErrLeaderMoved = errors.New("the group's leader moved during the upload")

// ErrUnknownOutcome ends an upload whose response was lost after its end mark was sent: the job may have been
// accepted.
var ErrUnknownOutcome = errors.New("the response to the upload was lost")

// Upload streams one job to the leader of its group.
type Upload struct {
	jobs   *Jobs
	group  uint32
	stream *connect.ClientStreamForClient[toucanhingev1.UploadRequest, toucanhingev1.UploadResponse]
	// replay holds all messages sent so far; nil once they exceed maxReplayBytes.
	replay      []*toucanhingev1.UploadRequest
	replayBytes int
	chunk       []*toucanhingev1.Item
	chunkBytes  int
	count       uint64
	// endSent is true once the end mark was sent; from then on the job may exist.
	endSent bool
	// earlyVerdict is a verdict received before the end mark was sent, because a job with this key exists already.
	earlyVerdict *toucanhingev1.UploadResponse
	cancel       context.CancelFunc
}

// Upload starts an upload.
func (j *Jobs) Upload(ctx context.Context, header *toucanhingev1.UploadHeader) (*Upload, error) {
	header.Gateway = j.config.Gateway
	group, err := groupOf(job.ID(header.GetTeam(), header.GetKey(), j.config.Groups()))
	if err != nil {
		return nil, err
	}
	u := &Upload{jobs: j, group: group}
	u.replay = []*toucanhingev1.UploadRequest{}
	u.openStream(ctx)
	message := &toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Header{Header: header}}
	if err := u.send(ctx, message, 0); err != nil {
		u.Abandon()
		return nil, err
	}
	return u, nil
}

func (u *Upload) openStream(ctx context.Context) {
	ctx, u.cancel = context.WithCancel(ctx)
	u.stream = u.jobs.leader(u.group).Jobs.Upload(ctx)
}

// Add adds one item. Items are sent in chunks.
func (u *Upload) Add(ctx context.Context, item *toucanhingev1.Item) error {
	u.chunk = append(u.chunk, item)
	u.chunkBytes += len(item.GetBody()) + len(item.GetCustomId())
	u.count++
	if len(u.chunk) < maxChunkItems && u.chunkBytes < maxChunkBytes {
		return nil
	}
	return u.flush(ctx)
}

func (u *Upload) flush(ctx context.Context) error {
	if len(u.chunk) == 0 {
		return nil
	}
	message := &toucanhingev1.UploadRequest{
		Part: &toucanhingev1.UploadRequest_Items{Items: &toucanhingev1.UploadItems{Items: u.chunk}},
	}
	size := u.chunkBytes
	u.chunk, u.chunkBytes = nil, 0
	return u.send(ctx, message, size)
}

func (u *Upload) send(ctx context.Context, message *toucanhingev1.UploadRequest, size int) error {
	u.addToReplay(message, size)
	if u.earlyVerdict != nil || u.stream.Send(message) == nil {
		return nil
	}
	// The replica closed the stream early; the verdict contains the reason.
	response, err := u.receiveVerdict(ctx)
	u.earlyVerdict = response
	return err
}

func (u *Upload) addToReplay(message *toucanhingev1.UploadRequest, size int) {
	if u.replay == nil {
		return
	}
	u.replay = append(u.replay, message)
	u.replayBytes += size
	if u.replayBytes > maxReplayBytes {
		u.replay = nil
	}
}

// End sends the end mark and waits for the verdict.
func (u *Upload) End(ctx context.Context) (*toucanhingev1.UploadResponse, error) {
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	if u.earlyVerdict != nil {
		return u.earlyVerdict, nil
	}
	u.endSent = true
	message := &toucanhingev1.UploadRequest{
		Part: &toucanhingev1.UploadRequest_End{End: &toucanhingev1.UploadEnd{Count: u.count}},
	}
	u.addToReplay(message, 0)
	// The verdict also reports a failed send.
	_ = u.stream.Send(message)
	return u.receiveVerdict(ctx)
}

// Abandon cancels an upload. Unless its end mark was sent, nothing of it becomes visible.
func (u *Upload) Abandon() {
	u.cancel()
}

// Count returns the number of items added.
func (u *Upload) Count() uint64 {
	return u.count
}

// receiveVerdict receives the response of the replica, and restarts the upload at another replica as long as all sent
// messages are retained. A restart is harmless at any point, because the key of the job identifies the second copy as
// a resend. If the upload continues after a restart, both results are nil.
func (u *Upload) receiveVerdict(ctx context.Context) (*toucanhingev1.UploadResponse, error) {
	for attempt := 1; ; attempt++ {
		response, err := u.stream.CloseAndReceive()
		if err == nil {
			return response.Msg, nil
		}
		if !u.jobs.updateLeader(u.group, err) {
			return nil, fmt.Errorf("upload the job: %w", err)
		}
		if u.replay == nil || attempt >= maxUploadAttempts || waitForRetry(ctx) != nil {
			return nil, u.lostError(err)
		}
		if u.replayAll(ctx) && !u.endSent {
			return nil, nil
		}
	}
}

// lostError returns the error for an upload that gets no verdict: whether the job may have been accepted depends on
// whether the end mark was sent.
func (u *Upload) lostError(err error) error {
	if u.endSent {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrLeaderMoved, err)
}

func (u *Upload) replayAll(ctx context.Context) bool {
	u.cancel()
	u.openStream(ctx)
	for _, message := range u.replay {
		if u.stream.Send(message) != nil {
			return false
		}
	}
	return true
}

func waitForRetry(ctx context.Context) error {
	timer := time.NewTimer(uploadRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
