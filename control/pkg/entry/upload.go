package entry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"hash/maphash"
	"sync"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	jobname "toucanhinge.example/common/pkg/job"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/jobstate"
	"toucanhinge.example/control/pkg/replica"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Limits of staging. One chunk is one step of the log; a few are under way at a
// time, so that an upload isn't slowed by one sync after another.
const (
	chunkItems     = 256
	chunkBytes     = 256 << 10
	chunksInFlight = 8
	stageTries     = 3
	longestName    = 256
)

// Upload takes a whole job. Nothing of it is visible before the answer.
func (h *Handler) Upload(
	ctx context.Context, stream *connect.ClientStream[toucanhingev1.UploadRequest],
) (*connect.Response[toucanhingev1.UploadResponse], error) {
	if !stream.Receive() {
		return nil, h.broken(stream.Err())
	}
	u, err := h.begin(ctx, stream.Msg().GetHeader())
	if err != nil {
		return nil, err
	}
	defer u.stop()
	for stream.Receive() {
		switch part := stream.Msg().GetPart().(type) {
		case *toucanhingev1.UploadRequest_Items:
			if err := u.add(part.Items.GetItems()); err != nil {
				return nil, err
			}
		case *toucanhingev1.UploadRequest_End:
			return u.end(part.End.GetCount())
		default:
			return nil, h.invalid("after the header only items and the end may come")
		}
	}
	return nil, h.broken(stream.Err())
}

func (h *Handler) broken(err error) error {
	if err == nil {
		err = errors.New("the upload ended without its end mark")
	}
	return h.config.Refuser.RefuseWith(placeUpload, reasonBroken, connect.CodeInvalidArgument, "upload broken off: %w", err)
}

func (h *Handler) invalid(format string, args ...any) error {
	return h.config.Refuser.RefuseWith(placeUpload, reasonInvalid, connect.CodeInvalidArgument, format, args...)
}

// uploading is one upload under way.
type uploading struct {
	handler *Handler
	group   *group.Jobs
	header  *toucanhingev1.UploadHeader
	id      string
	upload  string
	// permitted is what the configuration said at the start.
	permitted permission

	digest hash.Hash
	seed   maphash.Seed
	seen   map[uint64]struct{}
	count  uint64
	chunk  [][]byte
	size   int

	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{}
	done   sync.WaitGroup
	mu     sync.Mutex
	failed error
}

func (h *Handler) begin(ctx context.Context, header *toucanhingev1.UploadHeader) (*uploading, error) {
	if header == nil {
		return nil, h.invalid("the first message must be the header")
	}
	if header.GetTeam() == "" || header.GetKey() == "" || len(header.GetKey()) > longestName || len(header.GetTeam()) > longestName {
		return nil, h.invalid("want a team and a key of at most %d bytes", longestName)
	}
	id := jobname.ID(header.GetTeam(), header.GetKey(), h.config.GroupCount)
	g, err := h.lead(placeUpload, id)
	if err != nil {
		return nil, err
	}
	permitted, err := h.permit(ctx, header)
	if err != nil {
		return nil, err
	}
	u := &uploading{
		handler: h, group: g, header: header, id: id, upload: newUploadID(), permitted: permitted,
		digest: sha256.New(), seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}, slots: make(chan struct{}, chunksInFlight),
	}
	u.ctx, u.cancel = context.WithCancel(ctx)
	u.mix([]byte(header.GetService()))
	return u, nil
}

func newUploadID() string {
	var random [16]byte
	// crypto/rand never fails on the systems that we run on; it aborts instead.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

func (u *uploading) mix(part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	u.digest.Write(length[:])
	u.digest.Write(part)
}

func (u *uploading) add(items []*toucanhingev1.Item) error {
	for _, item := range items {
		if err := u.check(item); err != nil {
			return err
		}
		u.mix([]byte(item.GetCustomId()))
		u.mix(item.GetBody())
		payload, err := proto.Marshal(item)
		if err != nil {
			return u.handler.invalid("line %d: %w", u.count+1, err)
		}
		if len(u.chunk) == chunkItems || (len(u.chunk) > 0 && u.size+len(payload) > chunkBytes) {
			if err := u.stage(); err != nil {
				return err
			}
		}
		u.chunk = append(u.chunk, payload)
		u.size += len(payload)
		u.count++
	}
	return nil
}

// check judges one item; the error names its line.
func (u *uploading) check(item *toucanhingev1.Item) error {
	line := u.count + 1
	limits := u.handler.config
	switch {
	case line > limits.MaxItems:
		return u.handler.invalid("line %d: a job holds at most %d items", line, limits.MaxItems)
	case item.GetCustomId() == "" || len(item.GetCustomId()) > longestName:
		return u.handler.invalid("line %d: custom_id: want 1 to %d bytes", line, longestName)
	case len(item.GetBody()) > limits.ItemBytes:
		return u.handler.invalid("line %d: the body is larger than %d bytes", line, limits.ItemBytes)
	case !json.Valid(item.GetBody()):
		return u.handler.invalid("line %d: the body is not JSON", line)
	}
	// 64 bits with a random seed: among 210,000 names two different ones meet
	// once in a thousand million uploads, and nobody can aim at it.
	name := maphash.String(u.seed, item.GetCustomId())
	if _, twice := u.seen[name]; twice {
		return u.handler.invalid("line %d: custom_id %q came before", line, item.GetCustomId())
	}
	u.seen[name] = struct{}{}
	return nil
}

// stage sends the gathered chunk off; it waits while too many are under way.
func (u *uploading) stage() error {
	if len(u.chunk) == 0 {
		return nil
	}
	select {
	case u.slots <- struct{}{}:
	case <-u.ctx.Done():
		return u.failure(u.ctx.Err())
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: &toucanhingev1.StageStep{
		Upload: u.upload, First: u.count - uint64(len(u.chunk)), Items: u.chunk,
	}}}
	size := u.size
	u.chunk, u.size = nil, 0
	u.done.Add(1)
	go func() {
		defer u.done.Done()
		defer func() { <-u.slots }()
		if err := u.propose(step, size); err != nil {
			u.fail(err)
		}
	}()
	return nil
}

// propose repeats a chunk whose outcome is unknown: staged twice it counts once.
func (u *uploading) propose(step *toucanhingev1.JobStep, size int) error {
	var err error
	for range stageTries {
		_, err = group.Do[jobstate.StageAnswer](u.ctx, u.group.Steps, step, size)
		if err == nil || !errors.Is(err, replica.ErrUnknown) {
			return err
		}
	}
	return err
}

func (u *uploading) fail(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed == nil {
		u.failed = err
	}
	u.cancel()
}

func (u *uploading) failure(other error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.failed != nil {
		other = u.failed
	}
	return u.handler.config.Refuser.Refuse(placeUpload, other)
}

// end accepts the job once all chunks are held.
func (u *uploading) end(count uint64) (*connect.Response[toucanhingev1.UploadResponse], error) {
	if count != u.count {
		return nil, u.handler.invalid("the end names %d items, %d came", count, u.count)
	}
	if count == 0 {
		return nil, u.handler.invalid("the job holds no items")
	}
	if err := u.stage(); err != nil {
		return nil, err
	}
	u.done.Wait()
	if u.ctx.Err() != nil {
		return nil, u.failure(u.ctx.Err())
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: u.upload, Id: u.id, Header: u.header, Count: count, Digest: u.digest.Sum(nil),
		Attempts: u.permitted.service.GetItemAttempts(), Weight: u.permitted.weight,
	}}}
	answer, err := group.Do[jobstate.AcceptAnswer](u.ctx, u.group.Steps, step, stepBytes)
	if err != nil {
		return nil, u.handler.config.Refuser.Refuse(placeUpload, err)
	}
	return u.answer(answer)
}

func (u *uploading) answer(answer jobstate.AcceptAnswer) (*connect.Response[toucanhingev1.UploadResponse], error) {
	refuser := u.handler.config.Refuser
	switch {
	case errors.Is(answer.Err, jobstate.ErrConflict):
		return nil, refuser.RefuseWith(placeUpload, reasonConflict, connect.CodeAlreadyExists, "key %q: %w", u.header.GetKey(), answer.Err)
	case answer.Err != nil:
		return nil, refuser.RefuseWith(placeUpload, reasonBroken, connect.CodeAborted, "accept: %w", answer.Err)
	}
	event := "accepted"
	if answer.Resend {
		event = "resent"
	}
	u.handler.config.Book.Add(u.id, event, fmt.Sprintf("%d items, gateway %s", u.count, u.header.GetGateway()))
	return connect.NewResponse(&toucanhingev1.UploadResponse{Job: answer.Status, Resend: answer.Resend}), nil
}

func (u *uploading) stop() {
	u.cancel()
	u.done.Wait()
}
