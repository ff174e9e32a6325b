package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/plain"
)

var (
	errStatus   = errors.New("unexpected status")
	errNoLeader = errors.New("no leader")
)

// EngineLedger fetches the ledger of requests that an engine ran.
func (f *Fleet) EngineLedger(ctx context.Context, n *Node) (engine.Ledger, error) {
	var l engine.Ledger
	return l, f.getJSON(ctx, n.URL()+"/ledger", &l)
}

// EngineTotals fetches the ledger of an engine without the records of single requests.
func (f *Fleet) EngineTotals(ctx context.Context, n *Node) (engine.Ledger, error) {
	var l engine.Ledger
	return l, f.getJSON(ctx, n.URL()+"/ledger?records=none", &l)
}

// PlainLedger fetches the ledger of requests that a plain service ran.
func (f *Fleet) PlainLedger(ctx context.Context, n *Node) (plain.Ledger, error) {
	var l plain.Ledger
	return l, f.getJSON(ctx, n.URL()+"/ledger", &l)
}

// SetFaults sets the faults of a simulated engine or service.
func (f *Fleet) SetFaults(ctx context.Context, n *Node, faults any) error {
	text, err := json.Marshal(faults)
	if err != nil {
		return fmt.Errorf("encode faults: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.URL()+"/faults", strings.NewReader(string(text)))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return fmt.Errorf("set faults of %s: %w", n.Name, err)
	}
	_ = response.Body.Close()
	return nil
}

// EnginePosts returns the number of requests that all engines received.
func (f *Fleet) EnginePosts(ctx context.Context) (int, error) {
	posts := 0
	for _, n := range f.Engines {
		l, err := f.EngineLedger(ctx, n)
		if err != nil {
			return 0, err
		}
		for _, r := range l.Records {
			posts += r.Posts
		}
	}
	return posts, nil
}

// retriedMetric counts the retries of a process by location and reason.
const retriedMetric = "toucanhinge_retried_total"

// Retries returns the sum of the retries of all gateways.
func (f *Fleet) Retries(ctx context.Context) (float64, error) {
	total := 0.0
	for _, n := range f.Gateways {
		sum, err := f.Metric(ctx, n, retriedMetric)
		if err != nil {
			return 0, err
		}
		total += sum
	}
	return total, nil
}

// Metric returns the sum of all series of one metric of a process.
func (f *Fleet) Metric(ctx context.Context, n *Node, name string) (float64, error) {
	body, err := f.get(ctx, "http://"+n.AdminAddress+"/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	total := 0.0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		rest, ok := strings.CutPrefix(lines.Text(), name)
		if !ok || rest == "" || rest[0] != '{' && rest[0] != ' ' {
			continue
		}
		value, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		if err != nil {
			return 0, fmt.Errorf("parse metric %s: %w", name, err)
		}
		total += value
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read metrics: %w", err)
	}
	return total, nil
}

func (f *Fleet) getJSON(ctx context.Context, url string, into any) error {
	body, err := f.get(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return fmt.Errorf("decode response of %s: %w", url, err)
	}
	return nil
}

func (f *Fleet) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := f.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, fmt.Errorf("get %s: status %d: %w", url, response.StatusCode, errStatus)
	}
	return response.Body, nil
}

// Leader returns the control VM that leads a group. It only trusts a replica that reports
// itself as the leader. If several do, the one with the highest term counts, since an
// isolated leader may still consider itself the leader for a while.
func (f *Fleet) Leader(ctx context.Context, group uint32) (*Node, error) {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for ctx.Err() == nil {
		var found *Node
		highest := uint64(0)
		for _, n := range f.Controls {
			term, leads := f.leaderTerm(ctx, n, group)
			if leads && term > highest {
				found, highest = n, term
			}
		}
		if found != nil {
			return found, nil
		}
		time.Sleep(pollInterval)
	}
	return nil, fmt.Errorf("find leader of group %d: %w", group, errNoLeader)
}

// leaderTerm returns the current term of a replica and reports whether the replica
// considers itself the leader of the group.
func (f *Fleet) leaderTerm(ctx context.Context, n *Node, group uint32) (term uint64, leads bool) {
	if n.Process().Ended() {
		return 0, false
	}
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	status, err := f.Operator.GroupStatus(ctx, n.Address)
	if err != nil {
		return 0, false
	}
	for _, g := range status.GetGroups() {
		if g.GetGroup() == group && g.GetLeader() == n.Name && status.GetReplica() == n.Name && g.GetRole() == "leader" {
			return g.GetTerm(), true
		}
	}
	return 0, false
}
