package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"toucanhinge.example/toucanctl/pkg/loglines"
	"toucanhinge.example/toucanctl/pkg/operator"
	"toucanhinge.example/toucanctl/pkg/output"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// usageError reports a command line that go-arg accepts but that is not valid.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

func dispatch(ctx context.Context, a *Arguments, c *operator.Client, p output.Printer) error {
	switch {
	case a.Put != nil, a.Remove != nil, a.Order != nil, a.Drain != nil, a.Undrain != nil:
		return change(ctx, a, c, p)
	case a.List != nil:
		return list(ctx, a.List, c, p)
	case a.Jobs != nil:
		return show(p, p.Jobs, func() (*toucanhingev1.ListJobsResponse, error) { return c.Jobs(ctx, a.Jobs.Team) })
	case a.Teams != nil:
		return show(p, p.Teams, func() (*toucanhingev1.ListTeamsResponse, error) { return c.Teams(ctx, a.Teams.Team) })
	case a.Cancel != nil:
		return show(p, p.Job, func() (*toucanhingev1.CancelJobResponse, error) {
			return c.Cancel(ctx, a.Cancel.Job, a.Cancel.RequestID)
		})
	case a.Config != nil:
		return show(p, p.ConfigStatus, func() (*toucanhingev1.ConfigStatusResponse, error) { return c.ConfigStatus(ctx) })
	case a.Groups != nil:
		return groups(ctx, c, p)
	case a.Replica != nil:
		return replica(ctx, a.Replica, c, p)
	case a.Handover != nil:
		return show(p, p.Handover, func() (*toucanhingev1.HandoverResponse, error) { return c.Handover(ctx, a.Handover.Address) })
	default:
		return explain(ctx, a.Explain, c, p)
	}
}

func show[T any](_ output.Printer, write func(T) error, call func() (T, error)) error {
	response, err := call()
	if err != nil {
		return err
	}
	return write(response)
}

func change(ctx context.Context, a *Arguments, c *operator.Client, p output.Printer) error {
	entry, options, err := entryOf(a)
	if err != nil {
		return err
	}
	response, err := c.Apply(ctx, operator.Change{Entry: entry, RequestID: options.RequestID, Base: options.Base})
	if response != nil {
		if printErr := p.ApplyResult(response); printErr != nil {
			return printErr
		}
	}
	return err
}

func list(ctx context.Context, l *ListCommand, c *operator.Client, p output.Printer) error {
	kind, err := parseKind(l.Kind, true)
	if err != nil {
		return err
	}
	return show(p, p.Entries, func() (*toucanhingev1.ListEntriesResponse, error) { return c.List(ctx, kind, l.Name) })
}

func groups(ctx context.Context, c *operator.Client, p output.Printer) error {
	responses, err := c.Groups(ctx)
	for _, response := range responses {
		if printErr := p.Groups(response); printErr != nil {
			return printErr
		}
	}
	return err
}

var replicaChanges = map[string]toucanhingev1.ReplicaChange{
	"add":     toucanhingev1.ReplicaChange_REPLICA_CHANGE_ADD_LEARNER,
	"promote": toucanhingev1.ReplicaChange_REPLICA_CHANGE_PROMOTE,
	"remove":  toucanhingev1.ReplicaChange_REPLICA_CHANGE_REMOVE,
}

func replica(ctx context.Context, r *ReplicaCommand, c *operator.Client, p output.Printer) error {
	changeKind, found := replicaChanges[r.Change]
	if !found {
		return &usageError{fmt.Sprintf("replica takes add, promote or remove, not %q", r.Change)}
	}
	if r.Change == "add" && r.Address == "" {
		return &usageError{"replica add needs --address"}
	}
	return show(p, p.Replicas, func() (*toucanhingev1.ChangeReplicaResponse, error) {
		return c.ChangeReplica(ctx, &toucanhingev1.ChangeReplicaRequest{
			Change: changeKind, Name: r.Name, Address: r.Address, Identity: r.Identity,
		})
	})
}

func explain(ctx context.Context, e *ExplainCommand, c *operator.Client, p output.Printer) error {
	if len(e.Logs) > 0 {
		return explainLogs(e, p)
	}
	responses, unreachable, err := c.Explain(ctx, e.ID)
	if err != nil {
		return err
	}
	return p.Explanation(e.ID, responses, unreachable)
}

// explainLogs prints the log lines that concern an id.
func explainLogs(e *ExplainCommand, p output.Printer) error {
	around, err := time.ParseDuration(e.Around)
	if err != nil {
		return &usageError{fmt.Sprintf("--around: %v", err)}
	}
	var logs []io.Reader
	for _, path := range e.Logs {
		if path == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log file: %w", err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	trace, err := loglines.Read(e.ID, around, logs...)
	if err != nil {
		return err
	}
	return p.Trace(e.ID, trace)
}
