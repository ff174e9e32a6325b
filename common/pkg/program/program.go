// Package program starts a program of the product: it reads the command line and
// the settings, and runs the program until it ends.
package program

import (
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

// Exit codes: wrong settings are the operator's to mend, a failure may pass.
const (
	exitFailed   = 1
	exitSettings = 2
)

// arguments are those that all programs take.
type arguments struct {
	Settings string `arg:"--settings,required" help:"path of the TOML settings" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings, then stop"`

	description string
}

// Description is shown by --help.
func (a arguments) Description() string { return a.description }

// Program is one program with settings of type S.
type Program[S any] struct {
	// Description is one line for --help.
	Description string
	// Load reads and checks the settings.
	Load func(path string) (S, error)
	// Run runs until the program is asked to stop.
	Run func(S) error
}

// Main runs the program and ends the process.
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
