package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	historyClients = 6
	historyRounds  = 25
	historyJobs    = 20
)

// crash stops a node's replicas without transferring leaderships. Entries that the
// node acknowledged must be on its own disk and on those of other nodes.
func (n *node) crash() {
	n.process.beginShutdown()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.process.server.Shutdown(cancelled)
	n.process.groups.close()
	n.process.stopBatchers()
	n.process.background.Wait()
	n.process.batchers.Wait()
	n.process = nil
}

// crashLeaders repeatedly crashes and restarts the leader of a group until the context
// ends. It returns the number of crashes.
func (c *cluster) crashLeaders(ctx context.Context, group uint32) (crashes int) {
	for ctx.Err() == nil {
		leader := c.leader(group)
		if leader == nil {
			time.Sleep(pollInterval)
			continue
		}
		leader.crash()
		crashes++
		sleep(ctx, 300*time.Millisecond)
		leader.start(c.t)
		sleep(ctx, 700*time.Millisecond)
	}
	return crashes
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *cluster) leader(group uint32) *node {
	for _, n := range c.nodes {
		if n.process == nil {
			continue
		}
		if _, _, self := n.process.groups.replicas[group].Leader(); self {
			return n
		}
	}
	return nil
}

// history records the operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) record(client int, input any, run func() any) {
	call := time.Now().UnixNano()
	output := run()
	end := time.Now().UnixNano()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: end})
}

// changeInput is an operator's change based on a version, or a read if base is readOnly.
type changeInput struct {
	name string
	base int64
}

const readOnly = -1

// changeOutput holds the entry's version in the response, and whether the change was
// accepted.
type changeOutput struct {
	accepted bool
	version  uint64
}

// configurationModel is the sequential model of one configuration entry. Its version
// only grows, a change is accepted only if it is based on the current version, and
// every later read returns the new version.
func configurationModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byName := map[string][]porcupine.Operation{}
			for _, o := range all {
				name := o.Input.(changeInput).name
				byName[name] = append(byName[name], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byName {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			current, in, out := state.(uint64), input.(changeInput), output.(changeOutput)
			switch {
			case in.base == readOnly:
				return out.version == current, current
			case out.accepted:
				return uint64(in.base) == current && out.version > current, out.version
			default:
				return uint64(in.base) != current && out.version == current, current
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// TestConfigurationIsLinearizable has operators change the same entries concurrently
// while the leader of the configuration group crashes repeatedly. An operator resends a
// change if the response is lost. All responses must fit one order of the changes.
func TestConfigurationIsLinearizable(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.createContract()
	h := &history{}
	ctx, cancel := context.WithCancel(context.Background())
	crashed := make(chan int)
	go func() { crashed <- c.crashLeaders(ctx, 0) }()
	runConcurrently(historyClients, func(n int) {
		client := control.New(control.Config{Addresses: addresses(c), HTTP: web.NewClient()})
		random := rand.New(rand.NewPCG(uint64(n), 3))
		seen := map[string]uint64{}
		for round := range historyRounds {
			name := fmt.Sprintf("dc%d", random.IntN(3))
			if random.IntN(3) == 0 {
				h.record(n, changeInput{name: name, base: readOnly}, func() any { return c.readEntry(client, name, seen) })
				continue
			}
			id := fmt.Sprintf("%d-%d", n, round)
			h.record(n, changeInput{name: name, base: int64(seen[name])}, func() any {
				if base := seen[name]; random.IntN(2) == 0 {
					// The first response is treated as lost.
					c.changeEntry(client, id, name, seen)
					seen[name] = base
				}
				return c.changeEntry(client, id, name, seen)
			})
		}
	})
	cancel()
	crashes := <-crashed
	t.Logf("%d crashes of leaders", crashes)
	require.Positive(t, crashes)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(configurationModel(), h.operations, testTimeout))
}

func (c *cluster) readEntry(client *control.Client, name string, seen map[string]uint64) changeOutput {
	response, err := control.Call(c.context(), client, 0, "list",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ListEntriesResponse], error) {
			return r.Operators.ListEntries(ctx, connect.NewRequest(&toucanhingev1.ListEntriesRequest{
				Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: name,
			}))
		})
	require.NoError(c.t, err)
	for _, e := range response.Msg.GetEntries() {
		seen[name] = e.GetVersion()
	}
	return changeOutput{version: seen[name]}
}

func (c *cluster) changeEntry(client *control.Client, id, name string, seen map[string]uint64) changeOutput {
	request := &toucanhingev1.ApplyRequest{
		RequestId: id, BaseVersion: seen[name],
		Entry: &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: name,
			Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: id}},
		},
	}
	response, err := control.Call(c.context(), client, 0, "apply",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ApplyResponse], error) {
			return r.Operators.Apply(ctx, connect.NewRequest(request))
		})
	require.NoError(c.t, err)
	seen[name] = response.Msg.GetEntry().GetVersion()
	return changeOutput{accepted: response.Msg.GetAccepted(), version: seen[name]}
}

// jobInput is a completion, a cancellation or a status request of a job of one item.
type jobInput struct {
	job  string
	kind string
}

const (
	kindComplete = "complete"
	kindCancel   = "cancel"
	kindGet      = "get"
)

// jobModel is the sequential model of a job of one item, which is accepted, and then
// finished or cancelled. It is nondeterministic: a client that lost the response to its
// completion sends it again, and the second response doesn't show whether the first
// attempt or another client decided the item.
func jobModel() porcupine.NondeterministicModel {
	const accepted, finished, cancelled = toucanhingev1.JobState_JOB_STATE_ACCEPTED, toucanhingev1.JobState_JOB_STATE_FINISHED, toucanhingev1.JobState_JOB_STATE_CANCELLED
	nextIf := func(state any, allowed bool) []any {
		if allowed {
			return []any{state}
		}
		return nil
	}
	return porcupine.NondeterministicModel{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byJob := map[string][]porcupine.Operation{}
			for _, o := range all {
				byJob[o.Input.(jobInput).job] = append(byJob[o.Input.(jobInput).job], o)
			}
			var parts [][]porcupine.Operation
			for _, part := range byJob {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{accepted} },
		Step: func(state, input, output any) []any {
			switch input.(jobInput).kind {
			case kindGet:
				return nextIf(state, state == output)
			case kindCancel:
				if state == accepted {
					return nextIf(cancelled, output == cancelled)
				}
				return nextIf(state, output == state)
			default:
				switch output {
				case toucanhingev1.Verdict_VERDICT_ACCEPTED:
					return nextIf(finished, state == accepted)
				case toucanhingev1.Verdict_VERDICT_DECIDED:
					return nextIf(finished, state != cancelled)
				case toucanhingev1.Verdict_VERDICT_CANCELLED:
					return nextIf(state, state == cancelled)
				default:
					return nil
				}
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// TestJobStatesAreLinearizable has clients complete, cancel and read the same jobs
// concurrently while the leader of their group crashes repeatedly. All responses must
// fit one order, in which each job ends once.
func TestJobStatesAreLinearizable(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.createContract()
	leased := map[string]*toucanhingev1.LeasedItem{}
	var jobs []string
	for n := range historyJobs {
		response, err := c.upload(fmt.Sprintf("lot-%d", n), 1)
		require.NoError(t, err)
		jobs = append(jobs, response.GetJob().GetId())
	}
	for len(leased) < historyJobs {
		for _, l := range c.lease(8) {
			leased[l.GetJob()] = l
		}
	}
	h := &history{}
	ctx, cancel := context.WithCancel(context.Background())
	crashed := make(chan int)
	go func() { crashed <- c.crashLeaders(ctx, 1) }()
	runConcurrently(historyClients, func(n int) {
		client := control.New(control.Config{Addresses: addresses(c), HTTP: web.NewClient()})
		random := rand.New(rand.NewPCG(uint64(n), 5))
		for range historyRounds {
			// All clients draw from the same jobs, so that they conflict.
			job := jobs[random.IntN(historyJobs)]
			kind := []string{kindGet, kindGet, kindComplete, kindCancel}[random.IntN(4)]
			h.record(n, jobInput{job: job, kind: kind}, func() any { return c.callJob(client, kind, job, leased[job]) })
		}
	})
	cancel()
	crashes := <-crashed
	t.Logf("%d crashes of leaders", crashes)
	require.Positive(t, crashes)
	model := jobModel()
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, testTimeout))
}

func (c *cluster) callJob(client *control.Client, kind, job string, l *toucanhingev1.LeasedItem) any {
	output, err := control.Call(c.context(), client, 1, kind, func(ctx context.Context, r *control.Replica) (any, error) {
		switch kind {
		case kindGet:
			response, err := r.Jobs.GetJob(ctx, connect.NewRequest(&toucanhingev1.GetJobRequest{Team: "agence", Id: job}))
			if err != nil {
				return nil, err
			}
			return response.Msg.GetJob().GetState(), nil
		case kindCancel:
			response, err := r.Jobs.CancelJob(ctx, connect.NewRequest(&toucanhingev1.CancelJobRequest{Team: "agence", Id: job}))
			if err != nil {
				return nil, err
			}
			return response.Msg.GetJob().GetState(), nil
		default:
			response, err := r.Work.Complete(ctx, connect.NewRequest(&toucanhingev1.CompleteRequest{
				Sidecar: "s1", Group: 1, Completions: []*toucanhingev1.Completion{{
					Job: job, Index: l.GetIndex(), Lease: l.GetLease(), Outcome: toucanhingev1.Outcome_OUTCOME_DONE,
				}},
			}))
			if err != nil {
				return nil, err
			}
			return response.Msg.GetVerdicts()[0], nil
		}
	})
	require.NoError(c.t, err)
	return output
}
