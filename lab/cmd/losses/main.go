// Command losses reads the daemons' logs and tells what callers and teams didn't get, and
// why.
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
	Logs     []string      `arg:"positional" help:"files with log lines; none: standard input"`
	Picture  string        `arg:"--picture" help:"PNG file to draw the losses over time into"`
	Span     time.Duration `arg:"--span" default:"2s" help:"span of a point of the picture"`
	Late     float64       `arg:"--late" default:"0.15" help:"what a late answer is worth, in whole answers"`
	SecondAttempt float64       `arg:"--back" default:"0.575" help:"what one in time at the second attempt is worth"`
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
		if err := read("standard input", os.Stdin, ledger); err != nil {
			return err
		}
	}
	for _, name := range a.Logs {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open a log: %w", err)
		}
		err = read(name, file, ledger)
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

func read(name string, source io.Reader, ledger *losses.Ledger) error {
	unread, err := losses.Read(source, ledger)
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintf(os.Stderr, "%s: %d lines couldn't be read\n", name, unread)
	}
	return nil
}
