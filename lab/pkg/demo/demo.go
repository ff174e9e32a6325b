// Package demo runs the main job of the system on loopback and checks it: an
// online answer, a plain call, and a batch job whose results are each read
// exactly once though an endpoint's sidecar is killed in the middle.
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
	// killAfter results we kill a sidecar.
	killAfter = 200
	limit     = 55 * time.Second
	pollPause = 20 * time.Millisecond
	jobKey    = "demo-job"
)

// ErrCheckFailed is a promise that the demo found broken.
var ErrCheckFailed = errors.New("check failed")

// Config is what the demo needs.
type Config struct {
	Bin    string
	Folder string
	Output  io.Writer
}

// Demo is one run.
type Demo struct {
	config Config
	fleet  *fleet.Fleet
	caller *caller.Caller
	job    caller.Job
	start  time.Time
	rows   []row
}

// FleetConfig is the fleet of the demo and of "up".
func FleetConfig(bin, folder string) fleet.Config {
	return fleet.Config{
		Bin: bin, Folder: folder, Controls: 3, Gateways: 2, Sidecars: 4, PlainServices: 1,
		DataCentres: []string{"hay-riad", "agdal"},
	}
}

// Run runs the demo and prints the table of what happened.
func Run(ctx context.Context, config Config) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	folder, err := freshFolder(config.Folder)
	if err != nil {
		return err
	}
	d := &Demo{config: config, start: time.Now()}
	config.Folder = folder
	d.config = config
	defer d.close()
	for _, s := range d.steps() {
		began := time.Now()
		text, err := s.do(ctx)
		if err != nil {
			d.table()
			return fmt.Errorf("%s: %w; logs are in %s", s.name, err, folder)
		}
		d.rows = append(d.rows, row{name: s.name, text: text, took: time.Since(began)})
	}
	d.table()
	return nil
}

type step struct {
	name string
	do   func(ctx context.Context) (string, error)
}

func (d *Demo) steps() []step {
	return []step{
		{"start the fleet", d.startFleet},
		{"configure", d.configure},
		{"online answer", d.online},
		{"plain call", d.plain},
		{"upload job", d.upload},
		{"kill a sidecar", d.kill},
		{"finish job", d.finish},
		{"read results", d.read},
		{"stop gracefully", d.stop},
	}
}

// freshFolder makes an empty folder below the given one, so that no data of an
// earlier run is taken up.
func freshFolder(base string) (string, error) {
	if err := os.MkdirAll(base, 0o700); err != nil {
		return "", fmt.Errorf("make folder: %w", err)
	}
	folder, err := os.MkdirTemp(base, "run-")
	if err != nil {
		return "", fmt.Errorf("make folder: %w", err)
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
	return "services, teams and contracts in force at both gateways", nil
}

func (d *Demo) online(ctx context.Context) (string, error) {
	request := load.Mix{Model: fleet.Model, UniqueBytes: 60, MinTokens: 24, Name: "demo"}.Make(1)
	outcome := d.fleet.Target(1).Call(ctx, request, time.Now())
	if !outcome.Complete || outcome.Tokens != 24 {
		return "", fmt.Errorf("%s: %w", outcome, ErrCheckFailed)
	}
	return fmt.Sprintf("%d tokens streamed, the first after %d ms", outcome.Tokens, outcome.FirstToken.Milliseconds()), nil
}

func (d *Demo) plain(ctx context.Context) (string, error) {
	echo, err := d.caller.CallPlain(ctx, caller.PlainCall{Service: fleet.PlainService, Path: "/parcel/17", Body: "who owns it", ID: "demo-plain", NonIdempotent: true})
	if err != nil {
		return "", err
	}
	if echo.Body != "who owns it" || echo.Run != 1 {
		return "", fmt.Errorf("answer %+v: %w", echo, ErrCheckFailed)
	}
	return "non-idempotent call answered by " + fleet.PlainService + ", run once", nil
}

func prompt(n int) string { return fmt.Sprintf("ITEM[item-%d] summarise agreement %d", n, n) }

func (d *Demo) upload(ctx context.Context) (string, error) {
	var lines strings.Builder
	for n := range items {
		lines.WriteString(caller.ItemLine(fmt.Sprintf("item-%d", n), fleet.Model, prompt(n), itemTokens))
	}
	job, err := d.caller.Upload(ctx, fleet.ModelService, jobKey, strings.NewReader(lines.String()))
	if err != nil {
		return "", err
	}
	again, err := d.caller.Upload(ctx, fleet.ModelService, jobKey, strings.NewReader(lines.String()))
	if err != nil {
		return "", fmt.Errorf("resend: %w", err)
	}
	if again.ID != job.ID {
		return "", fmt.Errorf("a resend made another job %s beside %s: %w", again.ID, job.ID, ErrCheckFailed)
	}
	d.job = job
	return fmt.Sprintf("%d items accepted as %s; a resend of it changed nothing", items, job.ID), nil
}

func (d *Demo) kill(ctx context.Context) (string, error) {
	status, err := d.wait(ctx, killAfter)
	if err != nil {
		return "", err
	}
	if err := d.fleet.Sidecars[0].Kill(); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s ended with kill -9 after %d of %d results", d.fleet.Sidecars[0].Name, status.Done, items), nil
}

func (d *Demo) finish(ctx context.Context) (string, error) {
	status, err := d.wait(ctx, items)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d done, %d failed", status.Done, status.Failed), nil
}

// wait waits until so many items are decided.
func (d *Demo) wait(ctx context.Context, decided uint64) (caller.Job, error) {
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
			return caller.Job{}, fmt.Errorf("%d of %d items decided when time ran out: %w", status.Done+status.Failed, decided, ErrCheckFailed)
		case <-time.After(pollPause):
		}
	}
}

// read reads every result through the other gateway and checks that each item
// is there exactly once, in order, with the whole text of its own prompt.
func (d *Demo) read(ctx context.Context) (string, error) {
	other := caller.New(caller.Config{URL: d.fleet.Gateways[1].URL(), Key: fleet.TeamKey})
	next := 0
	err := other.Results(ctx, d.job.ID, 0, func(r caller.Result) error {
		if int(r.Index) != next || r.CustomID != fmt.Sprintf("item-%d", next) {
			return fmt.Errorf("item %s at index %d where %d was due: %w", r.CustomID, r.Index, next, ErrCheckFailed)
		}
		want := engine.ChatText(prompt(next), itemTokens)
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
		return "", fmt.Errorf("%d of %d results: %w", next, items, ErrCheckFailed)
	}
	return fmt.Sprintf("%d results, each exactly once, in order, whole", items), nil
}

func (d *Demo) stop(context.Context) (string, error) {
	if err := d.fleet.Stop(); err != nil {
		return "", err
	}
	return "every process ended by itself after SIGTERM", nil
}
