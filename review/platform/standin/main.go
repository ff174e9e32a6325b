package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase is a case and the numbers of machines that it needs.
type testCase struct {
	run                func(f *fleet, trouble bool) (int, error)
	controls, gateways int
}

// cases are the cases by name; each is added by its own file.
var cases = map[string]testCase{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "case-")
	if err != nil {
		return exitNotRun
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		folder = keep
	} else {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	played := cases[os.Args[1]]
	f, err := newFleet(rec, root, folder, played.controls, played.gateways)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.close()
		os.Exit(exitNotRun)
	}()
	code, err := played.run(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, filepath.Base(os.Args[2])+":", err)
		return exitNotRun
	}
	return code
}
