// Command demo shows the system's main job on loopback, or with --up leaves its
// fleet running in the foreground.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/demo"
)

type arguments struct {
	Bin    string `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Folder string `arg:"--folder" default:"demo/out" help:"folder for settings, logs and data"`
	Up     bool   `arg:"--up" help:"leave the fleet running on fixed ports until Ctrl-C"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	run := demo.Run
	if a.Up {
		run = demo.Up
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, demo.Config{Bin: a.Bin, Folder: a.Folder, Output: os.Stdout})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}
