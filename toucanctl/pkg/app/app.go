// Package app implements the operators' command line: it parses the arguments,
// calls the control VMs and prints the response.
package app

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/toucanctl/pkg/operator"
	"toucanhinge.example/toucanctl/pkg/output"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitNotFound = 4
)

// commandTimeout bounds a command whose control VMs do not respond.
const commandTimeout = 15 * time.Second

// Run executes one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var arguments Arguments
	parser, err := arg.NewParser(arg.Config{Program: "toucanctl", Out: out}, &arguments)
	if err != nil {
		return reportError(errOut, fmt.Errorf("create the argument parser: %w", err))
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if helpErr := parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...); helpErr != nil {
			return reportError(errOut, fmt.Errorf("write the help: %w", helpErr))
		}
		return exitDone
	case err != nil:
		return reportUsageError(errOut, explainRenamedTerm(args, err))
	case parser.Subcommand() == nil:
		parser.WriteHelp(errOut)
		return exitUsage
	case len(arguments.Control) == 0 && (arguments.Explain == nil || len(arguments.Explain.Logs) == 0):
		return reportUsageError(errOut, errors.New("--control or TOUCANHINGE_CONTROL must name a control VM"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	client := operator.New(operator.Config{
		Client:    control.New(control.Config{Addresses: arguments.Control, HTTP: web.NewClient()}),
		HTTP:      web.NewClient(),
		Addresses: arguments.Control,
		Author:    arguments.Author,
	})
	return reportResult(errOut, dispatch(ctx, &arguments, client, output.Printer{JSON: arguments.JSON, Out: out}))
}

// explainRenamedTerm adds a hint to a usage error that an outdated script may have caused: teams were
// called desks in earlier versions.
func explainRenamedTerm(args []string, err error) error {
	for _, a := range args {
		if a == "desk" || a == "--desk" || strings.HasPrefix(a, "--desk=") {
			return fmt.Errorf("%w; a desk is a team now", err)
		}
	}
	return err
}

func reportUsageError(errOut io.Writer, err error) int {
	fmt.Fprintf(errOut, "toucanctl: %v\nTry toucanctl --help.\n", err)
	return exitUsage
}

func reportError(errOut io.Writer, err error) int {
	fmt.Fprintf(errOut, "toucanctl: %v\n", err)
	return exitFailed
}

func reportResult(errOut io.Writer, err error) int {
	var bad *usageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &bad):
		return reportUsageError(errOut, err)
	case errors.Is(err, operator.ErrRefused):
		fmt.Fprintf(errOut, "toucanctl: %v\n", err)
		return exitRefused
	case connect.CodeOf(err) == connect.CodeNotFound || errors.Is(err, operator.ErrNotFound):
		fmt.Fprintf(errOut, "toucanctl: %v\n", err)
		return exitNotFound
	default:
		return reportError(errOut, err)
	}
}
