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
	// chunkItems and chunkBytes bound one message of an upload.
	chunkItems = 512
	chunkBytes = 256 << 10
	// replayBytes is the beginning of an upload that is kept until it is
	// passed: a replica that doesn't lead refuses within the first of it, and
	// the caller's body can't be read a second time.
	replayBytes = 2 << 20
	// uploadTries and uploadPause bound the search for the leader.
	uploadTries = 30
	uploadPause = 100 * time.Millisecond
)

// ErrLeaderMoved ends an upload whose leader was lost after more was sent than
// we keep. Nothing of it is visible; the caller's resend under its key is harmless.
var ErrLeaderMoved = errors.New("the group's leader moved during the upload")

// ErrUnknownOutcome ends an upload whose answer was lost after its end was sent: the
// job may have been accepted.
var ErrUnknownOutcome = errors.New("the answer to the upload was lost")

// Upload is one job on its way to the leader of its group.
type Upload struct {
	jobs   *Jobs
	group  uint32
	stream *connect.ClientStreamForClient[toucanhingev1.UploadRequest, toucanhingev1.UploadResponse]
	// replay holds all messages sent so far; nil once they are too many.
	replay      []*toucanhingev1.UploadRequest
	replayBytes int
	chunk       []*toucanhingev1.Item
	chunkBytes  int
	count       uint64
	// sent is true once the end mark went out: from then on the job may exist.
	sent bool
	// early is a verdict that came before the end: the key is known already.
	early  *toucanhingev1.UploadResponse
	cancel context.CancelFunc
}

// Upload opens an upload.
func (j *Jobs) Upload(ctx context.Context, header *toucanhingev1.UploadHeader) (*Upload, error) {
	header.Gateway = j.config.Gateway
	of, err := group(job.ID(header.GetTeam(), header.GetKey(), j.config.Groups()))
	if err != nil {
		return nil, err
	}
	u := &Upload{jobs: j, group: of}
	u.replay = []*toucanhingev1.UploadRequest{}
	u.open(ctx)
	message := &toucanhingev1.UploadRequest{Part: &toucanhingev1.UploadRequest_Header{Header: header}}
	if err := u.send(ctx, message, 0); err != nil {
		u.Abandon()
		return nil, err
	}
	return u, nil
}

func (u *Upload) open(ctx context.Context) {
	ctx, u.cancel = context.WithCancel(ctx)
	u.stream = u.jobs.leader(u.group).Jobs.Upload(ctx)
}

// Add sends one item, with others that follow it closely.
func (u *Upload) Add(ctx context.Context, item *toucanhingev1.Item) error {
	u.chunk = append(u.chunk, item)
	u.chunkBytes += len(item.GetBody()) + len(item.GetCustomId())
	u.count++
	if len(u.chunk) < chunkItems && u.chunkBytes < chunkBytes {
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
	u.keep(message, size)
	if u.early != nil || u.stream.Send(message) == nil {
		return nil
	}
	// The replica closed the stream early; its verdict says why.
	reply, err := u.verdict(ctx)
	u.early = reply
	return err
}

func (u *Upload) keep(message *toucanhingev1.UploadRequest, size int) {
	if u.replay == nil {
		return
	}
	u.replay = append(u.replay, message)
	u.replayBytes += size
	if u.replayBytes > replayBytes {
		u.replay = nil
	}
}

// End sends the end mark and waits for the verdict.
func (u *Upload) End(ctx context.Context) (*toucanhingev1.UploadResponse, error) {
	if err := u.flush(ctx); err != nil {
		return nil, err
	}
	if u.early != nil {
		return u.early, nil
	}
	u.sent = true
	message := &toucanhingev1.UploadRequest{
		Part: &toucanhingev1.UploadRequest_End{End: &toucanhingev1.UploadEnd{Count: u.count}},
	}
	u.keep(message, 0)
	// A failed send shows in the verdict.
	_ = u.stream.Send(message)
	return u.verdict(ctx)
}

// Abandon drops an upload that will not be ended; nothing of it becomes visible.
func (u *Upload) Abandon() {
	u.cancel()
}

// Count is how many items were added.
func (u *Upload) Count() uint64 {
	return u.count
}

// verdict reads the replica's answer, and starts again at another replica as
// long as all that was sent is still at hand. That is harmless at any point:
// the job's key makes the second copy a resend. Both results are nil when the
// upload goes on after a new start.
func (u *Upload) verdict(ctx context.Context) (*toucanhingev1.UploadResponse, error) {
	for tries := 1; ; tries++ {
		reply, err := u.stream.CloseAndReceive()
		if err == nil {
			return reply.Msg, nil
		}
		if !u.jobs.blame(u.group, err) {
			return nil, fmt.Errorf("upload the job: %w", err)
		}
		if u.replay == nil || tries >= uploadTries || pause(ctx) != nil {
			return nil, u.lost(err)
		}
		if u.restart(ctx) && !u.sent {
			return nil, nil
		}
	}
}

// lost says what the caller may believe when no verdict can be had any more.
func (u *Upload) lost(err error) error {
	if u.sent {
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", ErrLeaderMoved, err)
}

func (u *Upload) restart(ctx context.Context) bool {
	u.cancel()
	u.open(ctx)
	for _, message := range u.replay {
		if u.stream.Send(message) != nil {
			return false
		}
	}
	return true
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(uploadPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
