// Package demo demonstrates the main functions of the system on loopback and checks them: an
// online request, a call to a plain service, and a batch job whose results are each read
// exactly once although the sidecar of an endpoint is killed while the job runs.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/engine"
	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
)

const (
	items      = 1_000
	itemTokens = 12
	// killAfterResults is the number of results after which a sidecar is killed.
	killAfterResults = 200
	timeout          = 55 * time.Second
	pollInterval     = 20 * time.Millisecond
	jobKey           = "demo-job"
)

// ErrCheckFailed is returned when the system did not behave as the demo expects.
var ErrCheckFailed = errors.New("check failed")

// Config configures a demo.
type Config struct {
	// Bin is the folder that contains the built programs.
	Bin string
	// Folder receives one subfolder with settings, logs and data for each run.
	Folder string
	// Output receives the table of steps.
	Output io.Writer
}

// Demo is one run of the demo.
type Demo struct {
	config Config
	fleet  *fleet.Fleet
	caller *caller.Caller
	job    caller.Job
	start  time.Time
	rows   []row
}

// FleetConfig returns the fleet that Run and Up start.
func FleetConfig(bin, folder string) fleet.Config {
	return fleet.Config{
		Bin: bin, Folder: folder, Controls: 3, Gateways: 2, Sidecars: 4, PlainServices: 1,
		DataCentres: []string{"hay-riad", "agdal"},
	}
}

// Run runs the demo and prints a table of its steps.
func Run(ctx context.Context, config Config) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	folder, err := createRunFolder(config.Folder)
	if err != nil {
		return err
	}
	d := &Demo{config: config, start: time.Now()}
	config.Folder = folder
	d.config = config
	defer d.close()
	for _, s := range d.steps() {
		started := time.Now()
		result, err := s.run(ctx)
		if err != nil {
			d.printTable()
			return fmt.Errorf("step %q: %w; logs are in %s", s.name, err, folder)
		}
		d.rows = append(d.rows, row{name: s.name, result: result, duration: time.Since(started)})
	}
	d.printTable()
	return nil
}

type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

func (d *Demo) steps() []step {
	return []step{
		{"start the fleet", d.startFleet},
		{"configure", d.configure},
		{"online request", d.callOnline},
		{"call to plain service", d.callPlainService},
		{"upload job", d.uploadJob},
		{"kill a sidecar", d.killSidecar},
		{"finish job", d.finishJob},
		{"read results", d.checkResults},
		{"stop gracefully", d.stopFleet},
	}
}

// createRunFolder creates an empty folder below base, so that a run never loads the data of an
// earlier one.
func createRunFolder(base string) (string, error) {
	if err := os.MkdirAll(base, 0o700); err != nil {
		return "", fmt.Errorf("create folder: %w", err)
	}
	folder, err := os.MkdirTemp(base, "run-")
	if err != nil {
		return "", fmt.Errorf("create folder: %w", err)
	}
	return filepath.Abs(folder)
}

func (d *Demo) close() {
	if d.fleet != nil {
		d.fleet.Close()
	}
}

func (d *Demo) startFleet(ctx context.Context) (string, error) {
	f, err := fleet.Start(ctx, FleetConfig(d.config.Bin, d.config.Folder))
	if err != nil {
		return "", err
	}
	d.fleet = f
	d.caller = caller.New(caller.Config{URL: f.Gateways[0].URL(), Key: fleet.TeamKey})
	return fmt.Sprintf("%d controls, %d gateways, %d sidecars with engines, 1 plain service, 2 data centres",
		len(f.Controls), len(f.Gateways), len(f.Sidecars)), nil
}

func (d *Demo) configure(ctx context.Context) (string, error) {
	if err := d.fleet.Setup(ctx); err != nil {
		return "", err
	}
	return "services, teams and contracts applied by both gateways", nil
}

func (d *Demo) callOnline(ctx context.Context) (string, error) {
	request := load.Mix{Model: fleet.Model, UniqueBytes: 60, MinTokens: 24, Name: "demo"}.Make(1)
	outcome := d.fleet.Target(1).Call(ctx, request, time.Now())
	if !outcome.Complete || outcome.Tokens != 24 {
		return "", fmt.Errorf("online request: %s: %w", outcome, ErrCheckFailed)
	}
	return fmt.Sprintf("%d tokens streamed, the first after %d ms", outcome.Tokens, outcome.FirstToken.Milliseconds()), nil
}

func (d *Demo) callPlainService(ctx context.Context) (string, error) {
	echo, err := d.caller.CallPlain(ctx, caller.PlainCall{Service: fleet.PlainService, Path: "/parcel/17", Body: "who owns it", ID: "demo-plain", NonIdempotent: true})
	if err != nil {
		return "", err
	}
	if echo.Body != "who owns it" || echo.Run != 1 {
		return "", fmt.Errorf("unexpected response of the plain service %+v: %w", echo, ErrCheckFailed)
	}
	return "non-idempotent call handled by " + fleet.PlainService + ", run once", nil
}

func itemPrompt(n int) string { return fmt.Sprintf("ITEM[item-%d] summarise agreement %d", n, n) }

func (d *Demo) uploadJob(ctx context.Context) (string, error) {
	var lines strings.Builder
	for n := range items {
		lines.WriteString(caller.ItemLine(fmt.Sprintf("item-%d", n), fleet.Model, itemPrompt(n), itemTokens))
	}
	job, err := d.caller.Upload(ctx, fleet.ModelService, jobKey, strings.NewReader(lines.String()))
	if err != nil {
		return "", err
	}
	retried, err := d.caller.Upload(ctx, fleet.ModelService, jobKey, strings.NewReader(lines.String()))
	if err != nil {
		return "", fmt.Errorf("retry upload: %w", err)
	}
	if retried.ID != job.ID {
		return "", fmt.Errorf("retried upload created job %s besides %s: %w", retried.ID, job.ID, ErrCheckFailed)
	}
	d.job = job
	return fmt.Sprintf("%d items accepted as %s; a retried upload returned the same job", items, job.ID), nil
}

func (d *Demo) killSidecar(ctx context.Context) (string, error) {
	status, err := d.waitDecided(ctx, killAfterResults)
	if err != nil {
		return "", err
	}
	if err := d.fleet.Sidecars[0].Kill(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s killed with SIGKILL after %d of %d results", d.fleet.Sidecars[0].Name, status.Done, items), nil
}

func (d *Demo) finishJob(ctx context.Context) (string, error) {
	status, err := d.waitDecided(ctx, items)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d done, %d failed", status.Done, status.Failed), nil
}

// waitDecided waits until at least the given number of items is decided.
func (d *Demo) waitDecided(ctx context.Context, decided uint64) (caller.Job, error) {
	for {
		status, err := d.caller.Status(ctx, d.job.ID)
		if err != nil {
			return caller.Job{}, err
		}
		if status.Done+status.Failed >= decided {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return caller.Job{}, fmt.Errorf("%d of %d items decided before the timeout: %w", status.Done+status.Failed, decided, ErrCheckFailed)
		case <-time.After(pollInterval):
		}
	}
}

// checkResults reads all results through the other gateway and checks that each item occurs
// exactly once, in order, with the complete text for its own prompt.
func (d *Demo) checkResults(ctx context.Context) (string, error) {
	other := caller.New(caller.Config{URL: d.fleet.Gateways[1].URL(), Key: fleet.TeamKey})
	next := 0
	err := other.Results(ctx, d.job.ID, 0, func(r caller.Result) error {
		if int(r.Index) != next || r.CustomID != fmt.Sprintf("item-%d", next) {
			return fmt.Errorf("got item %s at index %d, want index %d: %w", r.CustomID, r.Index, next, ErrCheckFailed)
		}
		want := engine.ChatText(itemPrompt(next), itemTokens)
		if text := r.Text(); text != want {
			return fmt.Errorf("item %d has text %q, want %q: %w", next, text, want, ErrCheckFailed)
		}
		next++
		return nil
	})
	if err != nil {
		return "", err
	}
	if next != items {
		return "", fmt.Errorf("got %d of %d results: %w", next, items, ErrCheckFailed)
	}
	return fmt.Sprintf("%d results, each complete and exactly once, in order", items), nil
}

func (d *Demo) stopFleet(context.Context) (string, error) {
	if err := d.fleet.Stop(); err != nil {
		return "", err
	}
	return "all processes exited gracefully after SIGTERM", nil
}
