package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the cases. The limits that they stay in are quoted in their claims.
const (
	crashServers = 10
	crashSlots   = 8
	crashEvents  = 35
	crashStep    = 20 * time.Millisecond
	crashDown    = 2 * time.Second
	crashRate    = 15.0
	crashPause   = time.Second
	crashSends   = 25
	stableWindow = 3 * time.Second
	// allowedLate is the number of runs that may begin later than stableWindow after the last crash that counts.
	allowedLate = 3
)

// crashCase is a cause of crashes: a request that comes again, or a part of prompts that new requests share.
type crashCase struct {
	// after is the number of events after which a server crashes.
	after int
	// crashes is the number of crashes from which on the rule counts.
	crashes int
	// path and prompt return the path and the prompt of an attempt.
	path   func(n int) string
	prompt func(id string) string
}

// requestCrash is one request that comes again, with the same path and body.
var requestCrash = crashCase{
	after: 28, crashes: 3,
	path:   func(int) string { return "/tag" + deadlyPath + "/7" },
	prompt: func(id string) string { return promptOf(id) },
}

// partCrash is a part that requests share which have different paths and bodies.
var partCrash = crashCase{
	after: 9, crashes: 5,
	path:   func(n int) string { return fmt.Sprintf("/tag/part/%d", n) },
	prompt: func(id string) string { return promptOf(id, deadlyPart) },
}

const crashConfiguration = `{"version":1,"routes":[
{"name":"r-tag","host":"service.example","path-prefix":"/tag/","kind":"streaming","timeout-ms":5000,"target-latency-ms":300,"priority":0,"service":"llm","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":250}],
"services":[{"name":"llm","health-path":"/health","max-conns":390,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-capacity-tokens":115224,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// run sends requests that crash each server that runs them, one after the other, beside sound requests.
func (c crashCase) run(f *fleet, trouble bool) int {
	for n := range crashServers {
		s := &server{f: f, number: n, incarnation: 1, step: crashStep, slots: crashSlots}
		if trouble {
			s.crashAfter = c.after
		}
		s.link = startProxy(s.listed(), s.own())
		s.startProcess()
		f.list.set(s.entry())
		go s.supervise()
	}
	f.startSystem(3, 3)
	if err := f.configure(crashConfiguration); err != nil {
		f.record.log("cannot run: %v", err)
		return exitCannotRun
	}
	if err := f.awaitReady(); err != nil {
		f.record.log("cannot run: %v", err)
		return exitCannotRun
	}
	time.Sleep(2 * time.Second)
	t := &crashTraffic{f: f, cause: c, deadly: map[string]bool{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { t.runSound(stop) })
	time.Sleep(5 * time.Second)
	for n := range crashSends {
		t.sendDeadly(n)
		time.Sleep(crashPause)
	}
	close(stop)
	clients.Wait()
	t.requests.Wait()
	return t.judge()
}

// supervise starts the server again, under a new id, some time after it has crashed.
func (s *server) supervise() {
	for {
		<-s.process.done
		time.Sleep(crashDown)
		old := s.entry()
		s.incarnation++
		s.startProcess()
		time.Sleep(listLag)
		s.f.list.remove(old.ID)
		s.f.list.set(s.entry())
	}
}

// crashTraffic sends requests and counts how they ended.
type crashTraffic struct {
	f        *fleet
	cause    crashCase
	requests sync.WaitGroup

	mu sync.Mutex
	// deadly holds the ids of the attempts that crash servers.
	deadly                 map[string]bool
	sent, whole, brokenOff int
}

func (t *crashTraffic) runSound(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(min(time.Duration(rand.ExpFloat64()/crashRate*float64(time.Second)), time.Second)):
		}
		t.requests.Go(func() { t.sound(n) })
	}
}

func (t *crashTraffic) sound(n int) {
	id, gateway := fmt.Sprintf("%016x", rand.Uint64()), t.f.front(n%len(t.f.gateways))
	a := streamRequest(gateway, id, fmt.Sprintf("/tag/sound/%d", n), promptOf(id), crashEvents, 5*time.Second, 2*time.Second)
	t.f.record.log("sound request %s to %s: status %d, %d of %d events, whole %v, error %v", id, gateway, a.status, len(a.events), crashEvents, a.whole, a.err)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case a.status == 200 && a.whole && len(a.events) == crashEvents:
		t.whole++
	case a.status == 200:
		t.brokenOff++
	}
}

// sendDeadly sends one request that crashes servers.
func (t *crashTraffic) sendDeadly(n int) {
	id, gateway := fmt.Sprintf("%016x", rand.Uint64()), t.f.front(rand.IntN(len(t.f.gateways)))
	t.mu.Lock()
	t.deadly[id] = true
	t.mu.Unlock()
	a := streamRequest(gateway, id, t.cause.path(n), t.cause.prompt(id), crashEvents, 5*time.Second, 2*time.Second)
	t.f.record.log("deadly request %s to %s: status %d, %d events, error %v", id, gateway, a.status, len(a.events), a.err)
}

// judge counts the runs that began too late after the last crash that counts.
func (t *crashTraffic) judge() int {
	file, err := os.Open(t.f.runsPath())
	check(err)
	defer func() { _ = file.Close() }()
	var runs, crashes []int64
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		t.f.record.log("server: %s", scanner.Text())
		var at int64
		var server, verb, id string
		text := strings.Replace(scanner.Text(), "crashes by", "crashes", 1)
		if _, err := fmt.Sscan(text, &at, &server, &verb, &id); err != nil || !t.deadly[id] {
			continue
		}
		switch verb {
		case "runs":
			runs = append(runs, at)
		case "crashes":
			crashes = append(crashes, at)
		}
	}
	late := 0
	if len(crashes) >= t.cause.crashes {
		for _, at := range runs {
			if at > crashes[t.cause.crashes-1]+stableWindow.Milliseconds() {
				late++
			}
		}
	}
	summary := fmt.Sprintf("%d requests that crash servers were sent, %d ran and %d crashed a server, %d began to run later than %v after crash %d; "+
		"%d other requests: %d whole, %d broken off", len(t.deadly), len(runs), len(crashes), late, stableWindow, t.cause.crashes, t.sent, t.whole, t.brokenOff)
	t.f.record.log("%s", summary)
	fmt.Println(summary)
	switch {
	case late > allowedLate:
		return exitBroken
	case t.whole == 0:
		return exitCannotRun
	}
	return exitHeld
}
