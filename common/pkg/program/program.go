// Package program is the entry point of the platform's programs. It parses the command line, loads the
// settings, and runs the program until it ends.
package program

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes. An operator must correct invalid settings, while a failure may be temporary.
const (
	exitFailed   = 1
	exitSettings = 2
)

// arguments are the command-line arguments of all programs.
type arguments struct {
	Settings string `arg:"--settings,required" help:"path of the TOML settings" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings, then stop"`

	description string
}

// Description returns the text shown by --help.
func (a arguments) Description() string { return a.description }

// Program is a program with settings of type S.
type Program[S any] struct {
	// Description is one line for --help.
	Description string
	// Load reads and validates the settings.
	Load func(path string) (S, error)
	// Run runs the program until it is requested to stop.
	Run func(S) error
}

// Main runs the program and exits the process.
func (p Program[S]) Main() {
	args := arguments{description: p.Description}
	arg.MustParse(&args)
	os.Exit(p.run(args, os.Stdout, os.Stderr))
}

func (p Program[S]) run(args arguments, out, failures io.Writer) (code int) {
	settings, err := p.Load(args.Settings)
	if err != nil {
		fmt.Fprintf(failures, "%v\n", err)
		return exitSettings
	}
	if args.Check {
		fmt.Fprintf(out, "settings are valid\n")
		return 0
	}
	if err := p.Run(settings); err != nil {
		fmt.Fprintf(failures, "%v\n", err)
		return exitFailed
	}
	return 0
}
