// Command losses reads the logs of the daemons and reports which requests and items callers
// and teams lost, and why.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/losses"
)

type arguments struct {
	Logs          []string      `arg:"positional" help:"log files; standard input if none is given"`
	Picture       string        `arg:"--picture" help:"PNG file for a plot of the losses over time"`
	Span          time.Duration `arg:"--span" default:"2s" help:"time covered by one point of the plot"`
	Late          float64       `arg:"--late" default:"0.15" help:"value of a late response, relative to a complete one in time"`
	SecondAttempt float64       `arg:"--back" default:"0.575" help:"value of a response in time on the second attempt"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	ledger := losses.New(losses.Weights{Late: a.Late, InTimeOnRetry: a.SecondAttempt})
	if len(a.Logs) == 0 {
		if err := readLog("standard input", os.Stdin, ledger); err != nil {
			return err
		}
	}
	for _, name := range a.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		err = readLog(name, file, ledger)
		_ = file.Close()
		if err != nil {
			return err
		}
	}
	if err := ledger.Table(os.Stdout); err != nil {
		return err
	}
	if a.Picture == "" {
		return nil
	}
	return ledger.Picture(a.Span).Write(a.Picture)
}

func readLog(name string, source io.Reader, ledger *losses.Ledger) error {
	unparsed, err := losses.Read(source, ledger)
	if err != nil {
		return err
	}
	if unparsed > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines could not be parsed\n", name, unparsed)
	}
	return nil
}
