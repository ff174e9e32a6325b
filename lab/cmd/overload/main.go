// Command overload replays a fleet under growing load and reports the results that callers see.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/replay"
)

type arguments struct {
	Picture string `arg:"--picture" help:"PNG file for the plot"`
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of the request arrivals"`
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
	picture, err := replay.Curve(os.Stdout, a.Seed)
	if err != nil || a.Picture == "" {
		return err
	}
	return picture.Write(a.Picture)
}
