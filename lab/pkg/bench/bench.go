// Package bench implements the experiments. Each experiment compares its arms within
// one run on one machine, so ratios are more meaningful than absolute figures.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/plots"
	"toucanhinge.example/lab/pkg/summary"
)

// Config configures a bench run.
type Config struct {
	// Bin is the directory of the built binaries.
	Bin string
	// Out is the output directory for the summary, the pictures and the fleets' files.
	Out string
	// Only lists the names of the experiments to run; empty means all.
	Only []string
	// Runs is the number of runs per arm. The median is reported.
	Runs int
	Seed uint64
	// Print receives the progress output and the table.
	Print io.Writer
}

// Bench is a running bench.
type Bench struct {
	Config     Config
	Summary    *summary.Summary
	fleetCount int
}

// Experiment measures some of the summary's figures.
type Experiment struct {
	Name        string
	Description string
	// Figures are the names of the figures that the experiment must measure.
	Figures []string
	Run     func(ctx context.Context, b *Bench) error
}

// Experiments returns all experiments in the order in which they run.
func Experiments() []Experiment {
	return []Experiment{
		overheadExperiment, processorExperiment, idleExperiment, itemsExperiment, failoverExperiment,
		configExperiment, restartExperiment, largeJobExperiment, interferenceExperiment, yieldExperiment,
		overloadExperiment, endpointLossExperiment, daemonsExperiment, reportsExperiment,
	}
}

var errUnknownExperiment = errors.New("unknown experiment")

// Run runs the selected experiments, writes the summary and prints the table. If an
// experiment fails, its missing figures are listed with the reason and the other
// experiments still run.
func Run(ctx context.Context, config Config) error {
	b := &Bench{Config: config, Summary: summary.New()}
	selected, err := config.selected()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(config.Out, 0o700); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	for _, e := range selected {
		b.runExperiment(ctx, e)
	}
	if err := b.Summary.WriteFile(filepath.Join(config.Out, "summary.json")); err != nil {
		return err
	}
	return b.Summary.Print(config.Print)
}

func (c Config) selected() ([]Experiment, error) {
	if len(c.Only) == 0 {
		return Experiments(), nil
	}
	var selected []Experiment
	for _, name := range c.Only {
		found := false
		for _, e := range Experiments() {
			if e.Name == name {
				selected, found = append(selected, e), true
			}
		}
		if !found {
			return nil, fmt.Errorf("%s: %w", name, errUnknownExperiment)
		}
	}
	return selected, nil
}

func (b *Bench) runExperiment(ctx context.Context, e Experiment) {
	start := time.Now()
	b.printf("== %s: %s", e.Name, e.Description)
	err := e.Run(ctx, b)
	if err != nil {
		b.printf("   failed: %v", err)
	}
	for _, name := range e.Figures {
		if _, ok := b.Summary.Median(name); !ok {
			reason := "the experiment measured no value"
			if err != nil {
				reason = strings.SplitN(err.Error(), "\n", 2)[0]
			}
			b.Summary.MarkMissing(name, reason)
		}
	}
	b.printf("   took %.1f s", time.Since(start).Seconds())
}

func (b *Bench) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(b.Config.Print, format+"\n", args...)
}

// addFigure records a figure and prints it.
func (b *Bench) addFigure(name string, value float64) {
	b.Summary.Add(name, value)
	b.printf("   %s = %.4g", name, value)
}

// startFleet starts a fleet in its own directory.
func (b *Bench) startFleet(ctx context.Context, config fleet.Config) (*fleet.Fleet, error) {
	b.fleetCount++
	config.Bin = b.Config.Bin
	config.Folder = filepath.Join(b.Config.Out, "fleets", fmt.Sprintf("%d-%d", os.Getpid(), b.fleetCount))
	f, err := fleet.New(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

// stopFleet closes a fleet and removes the data directories of its control VMs, which
// may be large.
func (b *Bench) stopFleet(f *fleet.Fleet) {
	f.Close()
	for _, n := range f.Controls {
		_ = os.RemoveAll(n.DataFolder)
	}
}

func (b *Bench) writePicture(name string, picture plots.Picture) {
	if err := picture.Write(filepath.Join(b.Config.Out, name+".png")); err != nil {
		b.printf("   failed to write picture: %v", err)
	}
}
