package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// listLag is how long the list of servers lags.
const listLag = 800 * time.Millisecond

// runsPath is the file in which the servers write what they run.
func (f *fleet) runsPath() string { return filepath.Join(f.folder, "runs") }

// server is a model server behind a link.
type server struct {
	f           *fleet
	number      int
	incarnation int
	process     *process
	link        *proxy
	step        time.Duration
	slots       int
	// crashAfter is the number of events after which some requests crash the server, 0 for never.
	crashAfter int
}

func (s *server) id() string     { return fmt.Sprintf("i-%d-%d", s.number, s.incarnation) }
func (s *server) listed() string { return fmt.Sprintf("127.0.3.%d:%d", s.number+1, s.f.ports.runner) }
func (s *server) own() string    { return fmt.Sprintf("127.0.5.%d:%d", s.number+1, s.f.ports.runner) }

func (s *server) entry() entry {
	return entry{ID: s.id(), Service: "llm", Address: s.listed(), Zone: zones[s.number%3], Version: "v1", Slots: s.slots, State: "ready"}
}

// startProcess starts the process of the present incarnation.
func (s *server) startProcess() {
	self, err := os.Executable()
	check(err)
	s.process = s.f.start("server-"+s.id(), self, []string{
		"runner", "--id", s.id(), "--address", s.own(), "--step", s.step.String(), "--slots", fmt.Sprint(s.slots), "--crash-after", fmt.Sprint(s.crashAfter), "--record", s.f.runsPath(),
	}, nil)
}
