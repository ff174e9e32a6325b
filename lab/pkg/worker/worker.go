// Package worker stands in for many sidecars towards the job groups: it leases
// items and completes them at once, without any engine, so that control can be
// measured beyond what the engines of one machine could run.
package worker

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanhinge.example/common/pkg/control"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Config is how a worker is built.
type Config struct {
	Client      *control.Client
	Name        string
	Incarnation uint64
	Service     string
	Group       uint32
	// MaxItems items are asked for at once.
	MaxItems uint32
	// Body is the result of every item.
	Body []byte
	// ItemLimit, when above 0, ends the work after about that many items.
	ItemLimit int64
}

// Counts is what workers did together.
type Counts struct {
	Leased    atomic.Int64
	Accepted  atomic.Int64
	Stale     atomic.Int64
	Decided   atomic.Int64
	Cancelled atomic.Int64
}

const longestPause = 50 * time.Millisecond

// Run leases and completes until the context ends or the limit is reached.
func Run(ctx context.Context, config Config, counts *Counts) error {
	for ctx.Err() == nil && (config.ItemLimit == 0 || counts.Accepted.Load() < config.ItemLimit) {
		leased, err := config.lease(ctx)
		if err != nil {
			return err
		}
		if len(leased.GetItems()) == 0 {
			pause(ctx, min(time.Duration(leased.GetRetryMs())*time.Millisecond, longestPause))
			continue
		}
		counts.Leased.Add(int64(len(leased.GetItems())))
		if err := config.complete(ctx, leased.GetItems(), counts); err != nil {
			return err
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c Config) lease(ctx context.Context) (*toucanhingev1.LeaseResponse, error) {
	request := &toucanhingev1.LeaseRequest{
		Sidecar: c.Name, Incarnation: c.Incarnation, Service: c.Service, Group: c.Group, Most: c.MaxItems,
	}
	answer, err := control.Call(ctx, c.Client, c.Group, "lease",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.LeaseResponse], error) {
			return r.Work.Lease(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	return answer.Msg, nil
}

func (c Config) complete(ctx context.Context, items []*toucanhingev1.LeasedItem, counts *Counts) error {
	request := &toucanhingev1.CompleteRequest{Sidecar: c.Name, Group: c.Group}
	for _, item := range items {
		request.Completions = append(request.Completions, &toucanhingev1.Completion{
			Job: item.GetJob(), Index: item.GetIndex(), Lease: item.GetLease(),
			Outcome: toucanhingev1.Outcome_OUTCOME_DONE, Body: c.Body,
		})
	}
	answer, err := control.Call(ctx, c.Client, c.Group, "complete",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.CompleteResponse], error) {
			return r.Work.Complete(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return fmt.Errorf("complete: %w", err)
	}
	for _, v := range answer.Msg.GetVerdicts() {
		counts.verdict(v)
	}
	return nil
}

func (c *Counts) verdict(v toucanhingev1.Verdict) {
	switch v {
	case toucanhingev1.Verdict_VERDICT_ACCEPTED:
		c.Accepted.Add(1)
	case toucanhingev1.Verdict_VERDICT_STALE:
		c.Stale.Add(1)
	case toucanhingev1.Verdict_VERDICT_DECIDED:
		c.Decided.Add(1)
	case toucanhingev1.Verdict_VERDICT_CANCELLED:
		c.Cancelled.Add(1)
	case toucanhingev1.Verdict_VERDICT_UNSPECIFIED:
	}
}
