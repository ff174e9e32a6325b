// Package platform polls the platform's list of VMs, which lags behind. VMs that the list
// reports as leaving are drained, because an early drain does no harm. A VM that is missing
// from the list is not considered dead: only the expiry of a lease means death.
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

	"toucanhinge.example/common/pkg/http1"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/control/pkg/fleetstate"
	"toucanhinge.example/control/pkg/group"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	requestTimeout  = 3 * time.Second
	maxListBytes    = 4 << 20
	maxVMs          = 10_000
	approxStepBytes = 128

	stateLive    = "live"
	stateLeaving = "leaving"

	opVMList         = "vm-list"
	reasonUnreadable = "unreadable"
)

var errInvalidList = errors.New("invalid VM list: want a JSON list of VMs with a name and a state")

// Config holds the settings and dependencies of a Poller.
type Config struct {
	// URL returns, for a GET request, a JSON list of {"name", "state": "live"|"leaving"}.
	URL      string
	Interval time.Duration
	Fleet    *group.Fleet
	Logger   log.Logger
	// Refused counts failed requests and invalid lists; may be nil.
	Refused *prometheus.CounterVec
}

// Poller polls the list while this replica leads group 0.
type Poller struct {
	config Config
	http   *http.Client
}

// New returns a poller.
func New(config Config) *Poller {
	return &Poller{config: config, http: &http.Client{Transport: http1.NewTransport(&http.Transport{})}}
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

// Poll reads the list once and logs a step for each VM whose drain begins or ends. An
// unreadable list changes nothing. Poll does nothing on a follower.
func (p *Poller) Poll(ctx context.Context) error {
	if _, _, self := p.config.Fleet.Leader(); !self {
		return nil
	}
	list, err := p.fetchList(ctx)
	if err != nil {
		if p.config.Refused != nil {
			p.config.Refused.WithLabelValues(opVMList, reasonUnreadable).Inc()
		}
		return err
	}
	for _, step := range p.drainSteps(list) {
		if _, err := p.config.Fleet.Steps.Do(ctx, step, approxStepBytes); err != nil {
			return fmt.Errorf("log drain of a VM: %w", err)
		}
	}
	return nil
}

func (p *Poller) fetchList(ctx context.Context) ([]vm, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.config.URL, nil)
	if err != nil {
		return nil, fmt.Errorf("request VM list: %w", err)
	}
	response, err := p.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("request VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %w", response.StatusCode, errInvalidList)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	var list []vm
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidList, err)
	}
	return list, validateList(list)
}

func validateList(list []vm) error {
	if len(list) > maxVMs {
		return fmt.Errorf("%d VMs: %w", len(list), errInvalidList)
	}
	for i, v := range list {
		if v.Name == "" || (v.State != stateLive && v.State != stateLeaving) {
			return fmt.Errorf("entry %d: %w", i, errInvalidList)
		}
	}
	return nil
}

// drainSteps returns the steps that begin the drains of leaving VMs and end those of VMs
// that are live again. A VM that is no longer listed keeps its drain.
func (p *Poller) drainSteps(list []vm) []*toucanhingev1.FleetStep {
	var steps []*toucanhingev1.FleetStep
	p.config.Fleet.Machine.View(func(s *fleetstate.State) {
		for _, v := range list {
			drain, drained := s.Entry(toucanhingev1.Kind_KIND_DRAIN, v.Name)
			ownDrain := drained && drain.GetAuthor() == fleetstate.PlatformAuthor
			if (v.State == stateLeaving && !drained) || (v.State == stateLive && ownDrain) {
				steps = append(steps, &toucanhingev1.FleetStep{Step: &toucanhingev1.FleetStep_PlatformDrain{
					PlatformDrain: &toucanhingev1.PlatformDrainStep{Vm: v.Name, Gone: v.State == stateLive},
				}})
			}
		}
	})
	return steps
}
