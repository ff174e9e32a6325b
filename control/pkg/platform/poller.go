// Package platform reads the platform's list of VMs, which lags. What it says of
// leaving VMs is believed, since a drain that comes too early harms nobody. That
// a VM is missing is not believed to be its death: only a lease that ran out is.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	requestTime = 3 * time.Second
	mostBytes   = 4 << 20
	mostVMs     = 10_000
	stepBytes   = 128

	stateLive    = "live"
	stateLeaving = "leaving"

	placeVMs         = "vm-list"
	reasonUnreadable = "unreadable"
)

var errList = errors.New("the list is no JSON list of VMs with a name and a state")

// Config describes a poller.
type Config struct {
	// URL answers GET with a JSON list of {"name", "state": "live"|"leaving"}.
	URL    string
	Interval  time.Duration
	HTTP   *http.Client
	Fleet  *group.Fleet
	Logger log.Logger
	// Refused counts answers that were no list; may be nil.
	Refused *prometheus.CounterVec
}

// Poller reads the list while this replica leads group 0.
type Poller struct {
	config Config
}

// New makes a poller.
func New(config Config) *Poller {
	return &Poller{config: config}
}

type vm struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := p.Poll(ctx); err != nil && ctx.Err() == nil {
			level.Warn(p.config.Logger).Log(logs.KeyEvent, "vm-list-unread", logs.KeyError, err)
		}
	}
}

// Poll reads the list once and logs what changed. An unreadable list changes nothing.
func (p *Poller) Poll(ctx context.Context) error {
	if _, _, self := p.config.Fleet.Leader(); !self {
		return nil
	}
	list, err := p.read(ctx)
	if err != nil {
		if p.config.Refused != nil {
			p.config.Refused.WithLabelValues(placeVMs, reasonUnreadable).Inc()
		}
		return err
	}
	for _, step := range p.steps(list) {
		if _, err := p.config.Fleet.Steps.Do(ctx, step, stepBytes); err != nil {
			return fmt.Errorf("log the state of a VM: %w", err)
		}
	}
	return nil
}

func (p *Poller) read(ctx context.Context) ([]vm, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.config.URL, nil)
	if err != nil {
		return nil, fmt.Errorf("ask for the VM list: %w", err)
	}
	response, err := p.config.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask for the VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, errList)
	}
	var list []vm
	if err := json.NewDecoder(io.LimitReader(response.Body, mostBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("%w: %w", errList, err)
	}
	return list, check(list)
}

func check(list []vm) error {
	if len(list) > mostVMs {
		return fmt.Errorf("%d VMs: %w", len(list), errList)
	}
	for i, v := range list {
		if v.Name == "" || (v.State != stateLive && v.State != stateLeaving) {
			return fmt.Errorf("entry %d: %w", i, errList)
		}
	}
	return nil
}

// steps are the drains to begin and, for VMs that are live again, to end. A VM
// that the list no longer names keeps its drain.
func (p *Poller) steps(list []vm) []*toucanhingev1.FleetStep {
	var steps []*toucanhingev1.FleetStep
	p.config.Fleet.Machine.View(func(s *fleetstate.State) {
		for _, v := range list {
			drain, drained := s.Entry(toucanhingev1.Kind_KIND_DRAIN, v.Name)
			ours := drained && drain.GetAuthor() == fleetstate.PlatformAuthor
			if (v.State == stateLeaving && !drained) || (v.State == stateLive && ours) {
				steps = append(steps, &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_PlatformDrain{
					PlatformDrain: &toucanhingev1.PlatformDrainStep{Vm: v.Name, Gone: v.State == stateLive},
				}})
			}
		}
	})
	return steps
}
