// Package bench holds the experiments. Each compares its arms within one run on
// one machine, so their ratios count more than their absolute figures.
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

// Config is one bench run.
type Config struct {
	// Bin is the folder of the built programs.
	Bin string
	// Out takes summary, pictures and, below it, the fleets' files.
	Out string
	// Only names the experiments to run; empty means all.
	Only []string
	// Runs is how often each arm is run; the median counts.
	Runs int
	Seed uint64
	// Print takes the progress and the table.
	Print io.Writer
}

// Bench is a run under way.
type Bench struct {
	Config  Config
	Summary *summary.Summary
	fleets  int
}

// Experiment brings some of the summary's figures.
type Experiment struct {
	Name  string
	Description string
	// Figures are the names it is to bring.
	Figures []string
	Run     func(ctx context.Context, b *Bench) error
}

// Experiments is all of them, in the order of running.
func Experiments() []Experiment {
	return []Experiment{
		overheadExperiment, processorExperiment, idleExperiment, itemsExperiment, failoverExperiment,
		configExperiment, restartExperiment, largeJobExperiment, harmExperiment, yieldExperiment,
		overloadExperiment, deathExperiment, daemonsExperiment, reportsExperiment,
	}
}

var errUnknown = errors.New("no such experiment")

// Run runs the chosen experiments, prints the table and writes the summary. An
// experiment that fails leaves its figures out, says why, and the rest goes on.
func Run(ctx context.Context, config Config) error {
	b := &Bench{Config: config, Summary: summary.New()}
	chosen, err := config.chosen()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(config.Out, 0o700); err != nil {
		return fmt.Errorf("make folder: %w", err)
	}
	for _, e := range chosen {
		b.one(ctx, e)
	}
	if err := b.Summary.WriteFile(filepath.Join(config.Out, "summary.json")); err != nil {
		return err
	}
	return b.Summary.Print(config.Print)
}

func (c Config) chosen() ([]Experiment, error) {
	if len(c.Only) == 0 {
		return Experiments(), nil
	}
	var chosen []Experiment
	for _, name := range c.Only {
		found := false
		for _, e := range Experiments() {
			if e.Name == name {
				chosen, found = append(chosen, e), true
			}
		}
		if !found {
			return nil, fmt.Errorf("%s: %w", name, errUnknown)
		}
	}
	return chosen, nil
}

func (b *Bench) one(ctx context.Context, e Experiment) {
	start := time.Now()
	b.say("== %s: %s", e.Name, e.Description)
	err := e.Run(ctx, b)
	if err != nil {
		b.say("   failed: %v", err)
	}
	for _, name := range e.Figures {
		if _, ok := b.Summary.Median(name); !ok {
			reason := "the experiment brought no value"
			if err != nil {
				reason = strings.SplitN(err.Error(), "\n", 2)[0]
			}
			b.Summary.MarkMissing(name, reason)
		}
	}
	b.say("   took %.1f s", time.Since(start).Seconds())
}

func (b *Bench) say(format string, args ...any) {
	_, _ = fmt.Fprintf(b.Config.Print, format+"\n", args...)
}

// add notes a figure and prints it.
func (b *Bench) add(name string, value float64) {
	b.Summary.Add(name, value)
	b.say("   %s = %.4g", name, value)
}

// fleet starts a fleet in a folder of its own.
func (b *Bench) fleet(ctx context.Context, config fleet.Config) (*fleet.Fleet, error) {
	b.fleets++
	config.Bin = b.Config.Bin
	config.Folder = filepath.Join(b.Config.Out, "fleets", fmt.Sprintf("%d-%d", os.Getpid(), b.fleets))
	f, err := fleet.New(ctx, config)
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return f, nil
}

// end closes a fleet and removes its data, which may be large.
func (b *Bench) end(f *fleet.Fleet) {
	f.Close()
	for _, n := range f.Controls {
		_ = os.RemoveAll(n.DataFolder)
	}
}

func (b *Bench) draw(name string, picture plots.Picture) {
	if err := picture.Write(filepath.Join(b.Config.Out, name+".png")); err != nil {
		b.say("   no picture: %v", err)
	}
}
