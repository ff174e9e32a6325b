// Command bench runs the experiments and writes bench/out/summary.json.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/bench"
)

type arguments struct {
	Bin  string   `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Out  string   `arg:"--out" default:"bench/out" help:"folder of summary and pictures"`
	Only []string `arg:"--only" help:"experiments to run, by name"`
	Runs int      `arg:"--runs" default:"1" help:"runs of each arm; the median counts, and one run of all takes about four minutes"`
	Seed uint64   `arg:"--seed" default:"1" help:"seed of all arrivals"`
	List bool     `arg:"--list" help:"only list the experiments"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if a.List {
		for _, e := range bench.Experiments() {
			fmt.Printf("%-10s %s\n", e.Name, e.Description)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := bench.Run(ctx, bench.Config{Bin: a.Bin, Out: a.Out, Only: a.Only, Runs: a.Runs, Seed: a.Seed, Print: os.Stdout})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
