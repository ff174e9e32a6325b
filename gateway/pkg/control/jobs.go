package control

import (
	"context"
	"fmt"
	"sync"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/job"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// JobsConfig configures Jobs.
type JobsConfig struct {
	Gateway string
	Client  *control.Client
	// Groups returns the number of consensus groups of control.
	Groups func() uint32
}

// Jobs calls the leaders of the job groups.
type Jobs struct {
	config  JobsConfig
	mu      sync.Mutex
	leaders map[uint32]string
}

// NewJobs returns Jobs.
func NewJobs(config JobsConfig) *Jobs {
	return &Jobs{config: config, leaders: map[uint32]string{}}
}

// leader returns the replica to which the next upload of the group goes. The leader search of the client limits the
// duration of each attempt, which long uploads would exceed. Jobs therefore records the leaders named in refusals
// itself.
func (j *Jobs) leader(group uint32) *control.Replica {
	j.mu.Lock()
	address := j.leaders[group]
	j.mu.Unlock()
	if address == "" {
		return j.config.Client.Leader(group)
	}
	return j.config.Client.Replica(address)
}

// updateLeader records the leader named by the error of a failed upload, or else another replica. It reports whether
// another attempt may succeed.
func (j *Jobs) updateLeader(group uint32, err error) bool {
	address, refused := control.LeaderOf(err)
	if !refused {
		switch connect.CodeOf(err) {
		case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown:
		default:
			return false
		}
	}
	if address == "" {
		address = j.config.Client.Any().Address
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaders[group] = address
	return true
}

// groupOf returns the group in the id of a job. For a malformed id, it returns a not-found error.
func groupOf(id string) (uint32, error) {
	group, err := job.GroupOf(id)
	if err != nil {
		return 0, connect.NewError(connect.CodeNotFound, err)
	}
	return group, nil
}

// Get returns the status of a job.
func (j *Jobs) Get(ctx context.Context, team, id string) (*toucanhingev1.JobStatus, error) {
	group, err := groupOf(id)
	if err != nil {
		return nil, err
	}
	request := &toucanhingev1.GetJobRequest{Team: team, Id: id}
	response, err := control.Call(ctx, j.config.Client, group, "get-job",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.GetJobResponse], error) {
			return r.Jobs.GetJob(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("read the job: %w", err)
	}
	return response.Msg.GetJob(), nil
}

// Cancel cancels a job. The cancellation is durable when Cancel returns.
func (j *Jobs) Cancel(ctx context.Context, team, id, requestID string) (*toucanhingev1.JobStatus, error) {
	group, err := groupOf(id)
	if err != nil {
		return nil, err
	}
	request := &toucanhingev1.CancelJobRequest{Team: team, Id: id, RequestId: requestID}
	response, err := control.Call(ctx, j.config.Client, group, "cancel-job",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.CancelJobResponse], error) {
			return r.Jobs.CancelJob(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("cancel the job: %w", err)
	}
	return response.Msg.GetJob(), nil
}

// Results passes the decided items of a job to handle, starting with the item with index from. An error of handle
// ends the stream and is returned unchanged.
func (j *Jobs) Results(
	ctx context.Context, team, id string, from uint64, handle func([]*toucanhingev1.Result) error,
) error {
	group, err := groupOf(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := &toucanhingev1.ReadResultsRequest{Team: team, Id: id, From: from}
	// The status of the job was read from the leader just before, so the client knows the leader.
	stream, err := j.config.Client.Leader(group).Jobs.ReadResults(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("open the results: %w", err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if err := handle(stream.Msg().GetResults()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("read the results: %w", err)
	}
	return nil
}
