// Command standin2 holds the stand-ins of the cases of the second review: servers, their list, the links to them, clients
// and the operator, and the order of events of each case. It uses loopback addresses only.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunner(os.Args[2:])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE TARGET-FOLDER RECORD")
		os.Exit(exitCannotRun)
	}
	cases := map[string]func(*fleet, bool) int{"unframed-cut": unframedCut, "first-start": firstStart, "part-crash": partCrash.run, "request-crash": requestCrash.run}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitCannotRun)
	}
	rec := newRecord(os.Args[3])
	f := newFleet(os.Args[2], rec)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(exitCannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %v", os.Args[1], trouble)
	code := run(f, trouble)
	rec.log("exit code %d", code)
	f.close()
	os.Exit(code)
}
