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

// Limits of staging. Each chunk is one step in the log. Several chunks are in flight
// at a time, so that an upload does not wait for one disk sync after another.
const (
	maxChunkItems     = 256
	maxChunkBytes     = 256 << 10
	maxChunksInFlight = 8
	stageAttempts     = 3
	maxNameBytes      = 256
)

// Upload receives a whole job. The job is not visible before the response.
func (h *Handler) Upload(
	ctx context.Context, stream *connect.ClientStream[toucanhingev1.UploadRequest],
) (*connect.Response[toucanhingev1.UploadResponse], error) {
	if !stream.Receive() {
		return nil, h.brokenError(stream.Err())
	}
	u, err := h.begin(ctx, stream.Msg().GetHeader())
	if err != nil {
		return nil, err
	}
	defer u.cleanUp()
	for stream.Receive() {
		switch part := stream.Msg().GetPart().(type) {
		case *toucanhingev1.UploadRequest_Items:
			if err := u.addItems(part.Items.GetItems()); err != nil {
				return nil, err
			}
		case *toucanhingev1.UploadRequest_End:
			return u.finish(part.End.GetCount())
		default:
			return nil, h.invalidError("after the header only items and the end may come")
		}
	}
	return nil, h.brokenError(stream.Err())
}

func (h *Handler) brokenError(err error) error {
	if err == nil {
		err = errors.New("the upload ended without its end mark")
	}
	return h.config.Refuser.RefuseWith(callUpload, reasonBroken, connect.CodeInvalidArgument, "upload broken off: %w", err)
}

func (h *Handler) invalidError(format string, args ...any) error {
	return h.config.Refuser.RefuseWith(callUpload, reasonInvalid, connect.CodeInvalidArgument, format, args...)
}

// uploadSession is the state of one upload stream.
type uploadSession struct {
	handler *Handler
	group   *group.Jobs
	header  *toucanhingev1.UploadHeader
	id      string
	upload  string
	// permission is the configuration at the start of the upload.
	permission permission

	digest       hash.Hash
	seed         maphash.Seed
	seen         map[uint64]struct{}
	count        uint64
	pendingItems [][]byte
	pendingBytes int

	ctx        context.Context
	cancel     context.CancelFunc
	inFlight   chan struct{}
	staging    sync.WaitGroup
	mu         sync.Mutex
	firstError error
}

func (h *Handler) begin(ctx context.Context, header *toucanhingev1.UploadHeader) (*uploadSession, error) {
	if header == nil {
		return nil, h.invalidError("the first message must be the header")
	}
	if header.GetTeam() == "" || header.GetKey() == "" || len(header.GetKey()) > maxNameBytes || len(header.GetTeam()) > maxNameBytes {
		return nil, h.invalidError("want a team and a key of at most %d bytes", maxNameBytes)
	}
	id := jobname.ID(header.GetTeam(), header.GetKey(), h.config.GroupCount)
	g, err := h.leaderGroup(callUpload, id)
	if err != nil {
		return nil, err
	}
	permission, err := h.requireContract(ctx, header)
	if err != nil {
		return nil, err
	}
	u := &uploadSession{
		handler: h, group: g, header: header, id: id, upload: newUploadID(), permission: permission,
		digest: sha256.New(), seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}, inFlight: make(chan struct{}, maxChunksInFlight),
	}
	u.ctx, u.cancel = context.WithCancel(ctx)
	u.addToDigest([]byte(header.GetService()))
	return u, nil
}

func newUploadID() string {
	var random [16]byte
	// crypto/rand returns no error on the supported systems; it ends the process instead.
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// addToDigest adds a part to the digest, with its length first, so that the
// boundaries between parts count.
func (u *uploadSession) addToDigest(part []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(part)))
	u.digest.Write(length[:])
	u.digest.Write(part)
}

func (u *uploadSession) addItems(items []*toucanhingev1.Item) error {
	for _, item := range items {
		if err := u.checkItem(item); err != nil {
			return err
		}
		u.addToDigest([]byte(item.GetCustomId()))
		u.addToDigest(item.GetBody())
		payload, err := proto.Marshal(item)
		if err != nil {
			return u.handler.invalidError("line %d: %w", u.count+1, err)
		}
		if len(u.pendingItems) == maxChunkItems || (len(u.pendingItems) > 0 && u.pendingBytes+len(payload) > maxChunkBytes) {
			if err := u.stage(); err != nil {
				return err
			}
		}
		u.pendingItems = append(u.pendingItems, payload)
		u.pendingBytes += len(payload)
		u.count++
	}
	return nil
}

// checkItem validates one item. The error names its line.
func (u *uploadSession) checkItem(item *toucanhingev1.Item) error {
	line := u.count + 1
	limits := u.handler.config
	switch {
	case line > limits.MaxItems:
		return u.handler.invalidError("line %d: a job holds at most %d items", line, limits.MaxItems)
	case item.GetCustomId() == "" || len(item.GetCustomId()) > maxNameBytes:
		return u.handler.invalidError("line %d: custom_id: want 1 to %d bytes", line, maxNameBytes)
	case len(item.GetBody()) > limits.ItemBytes:
		return u.handler.invalidError("line %d: the body is larger than %d bytes", line, limits.ItemBytes)
	case !json.Valid(item.GetBody()):
		return u.handler.invalidError("line %d: the body is not JSON", line)
	}
	// The names are hashed to 64 bits with a random seed. Among 210,000 different
	// names, two collide once in 1,000,000,000 uploads, and a client can't construct a
	// collision.
	name := maphash.String(u.seed, item.GetCustomId())
	if _, twice := u.seen[name]; twice {
		return u.handler.invalidError("line %d: custom_id %q came before", line, item.GetCustomId())
	}
	u.seen[name] = struct{}{}
	return nil
}

// stage proposes the pending items as a chunk. It blocks while maxChunksInFlight
// chunks are in flight.
func (u *uploadSession) stage() error {
	if len(u.pendingItems) == 0 {
		return nil
	}
	select {
	case u.inFlight <- struct{}{}:
	case <-u.ctx.Done():
		return u.refusal(u.ctx.Err())
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: &toucanhingev1.StageStep{
		Upload: u.upload, First: u.count - uint64(len(u.pendingItems)), Items: u.pendingItems,
	}}}
	size := u.pendingBytes
	u.pendingItems, u.pendingBytes = nil, 0
	u.staging.Add(1)
	go func() {
		defer u.staging.Done()
		defer func() { <-u.inFlight }()
		if err := u.propose(step, size); err != nil {
			u.fail(err)
		}
	}()
	return nil
}

// propose proposes a chunk, and again if the outcome is unknown: a chunk that is
// staged twice counts once.
func (u *uploadSession) propose(step *toucanhingev1.JobStep, size int) error {
	var err error
	for range stageAttempts {
		_, err = group.Do[jobstate.StageResult](u.ctx, u.group.Steps, step, size)
		if err == nil || !errors.Is(err, replica.ErrUnknown) {
			return err
		}
	}
	return err
}

func (u *uploadSession) fail(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.firstError == nil {
		u.firstError = err
	}
	u.cancel()
}

// refusal returns the first staging error, or other if there is none, as a refusal.
func (u *uploadSession) refusal(other error) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.firstError != nil {
		other = u.firstError
	}
	return u.handler.config.Refuser.Refuse(callUpload, other)
}

// finish accepts the job once all its chunks are stored.
func (u *uploadSession) finish(count uint64) (*connect.Response[toucanhingev1.UploadResponse], error) {
	if count != u.count {
		return nil, u.handler.invalidError("the end names %d items, %d came", count, u.count)
	}
	if count == 0 {
		return nil, u.handler.invalidError("the job holds no items")
	}
	if err := u.stage(); err != nil {
		return nil, err
	}
	u.staging.Wait()
	if u.ctx.Err() != nil {
		return nil, u.refusal(u.ctx.Err())
	}
	step := &toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: u.upload, Id: u.id, Header: u.header, Count: count, Digest: u.digest.Sum(nil),
		Attempts: u.permission.service.GetItemAttempts(), Weight: u.permission.weight,
	}}}
	answer, err := group.Do[jobstate.AcceptResult](u.ctx, u.group.Steps, step, stepOverheadBytes)
	if err != nil {
		return nil, u.handler.config.Refuser.Refuse(callUpload, err)
	}
	return u.response(answer)
}

func (u *uploadSession) response(answer jobstate.AcceptResult) (*connect.Response[toucanhingev1.UploadResponse], error) {
	refuser := u.handler.config.Refuser
	switch {
	case errors.Is(answer.Err, jobstate.ErrConflict):
		return nil, refuser.RefuseWith(callUpload, reasonConflict, connect.CodeAlreadyExists, "key %q: %w", u.header.GetKey(), answer.Err)
	case answer.Err != nil:
		return nil, refuser.RefuseWith(callUpload, reasonBroken, connect.CodeAborted, "accept: %w", answer.Err)
	}
	event := "accepted"
	if answer.Resend {
		event = "resent"
	}
	u.handler.config.Log.Add(u.id, event, fmt.Sprintf("%d items, gateway %s", u.count, u.header.GetGateway()))
	return connect.NewResponse(&toucanhingev1.UploadResponse{Job: answer.Status, Resend: answer.Resend}), nil
}

func (u *uploadSession) cleanUp() {
	u.cancel()
	u.staging.Wait()
}
