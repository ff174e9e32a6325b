package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the case. The limits that they stay in are quoted in its claim.txt.
const (
	cutServers    = 10
	cutSlots      = 8
	cutEvents     = 35
	cutStep       = 30 * time.Millisecond
	cutCrashAfter = 100 * time.Millisecond
	cutGap        = 200 * time.Millisecond
	cutPause      = 6 * time.Second
	cutRate       = 24.0
	jobInterval   = 750 * time.Millisecond
	jobItems      = 10
	jobEvents     = 60
	jobTime       = 25 * time.Second
)

// cutRound is one cut: its length, and how long the server is down behind it.
type cutRound struct{ length, down time.Duration }

var cutRounds = []cutRound{
	{1800 * time.Millisecond, time.Second}, {900 * time.Millisecond, 500 * time.Millisecond},
	{1800 * time.Millisecond, time.Second}, {900 * time.Millisecond, 500 * time.Millisecond},
	{900 * time.Millisecond, 500 * time.Millisecond}, {900 * time.Millisecond, 500 * time.Millisecond},
}

const cutConfiguration = `{"version":1,"routes":[
{"name":"r-tag","host":"service.example","path-prefix":"/tag/","kind":"streaming","timeout-ms":5000,"target-latency-ms":300,"priority":0,"service":"llm","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":200},
{"name":"r-digest","host":"service.example","path-prefix":"/jobs/","kind":"batch","timeout-ms":15000,"target-latency-ms":500,"priority":2,"service":"llm","max-attempts":3,"sticky":true,"completion-target-ms":18000,"retention-s":60,"cap":2600000}],
"services":[{"name":"llm","health-path":"/health","max-conns":390,"protocol":"h1","tls":false,"engine":{"slots":8,"kv-capacity-tokens":115224,"models":[{"name":"m"}]}}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// unframedCut cuts one server of ten off from all machines for some seconds. It crashes behind the cut and starts again.
// All its answers end with their connections, without a length or chunks. A stream that a client gets must not end as
// complete before its last event.
func unframedCut(f *fleet, trouble bool) int {
	var servers []*server
	for n := range cutServers {
		s := &server{f: f, number: n, incarnation: 1, step: cutStep, slots: cutSlots}
		s.startProcess()
		s.link = startProxy(s.listed(), s.own())
		servers = append(servers, s)
		f.list.set(s.entry())
	}
	f.startSystem(3, 3)
	if err := f.configure(cutConfiguration); err != nil {
		f.record.log("cannot run: %v", err)
		return exitCannotRun
	}
	if err := f.awaitReady(); err != nil {
		f.record.log("cannot run: %v", err)
		return exitCannotRun
	}
	time.Sleep(2 * time.Second)
	t := &traffic{f: f}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { t.run(stop) })
	clients.Go(func() { t.runJobs(stop) })
	for n, round := range cutRounds {
		time.Sleep(cutPause / 2)
		if trouble {
			t.cut(servers[n%len(servers)], round)
		} else {
			time.Sleep(round.length)
		}
		time.Sleep(cutPause / 2)
	}
	close(stop)
	clients.Wait()
	t.requests.Wait()
	if data, err := os.ReadFile(f.runsPath()); err == nil {
		f.record.log("what the servers ran:\n%s", data)
	}
	summary := fmt.Sprintf("%d streams: %d whole, %d failed or broken off, %d left by the client, %d ended as complete before their last event; "+
		"%d items: %d completed and whole, %d completed with a text that isn't whole, %d dead or not listed in time",
		t.sent, t.whole, t.failed, t.left, t.short, t.items, t.wholeItems, t.shortItems, t.items-t.wholeItems-t.shortItems)
	f.record.log("%s", summary)
	fmt.Println(summary)
	switch {
	case t.short > 0 || t.shortItems > 0:
		return exitBroken
	case t.whole == 0 || t.wholeItems == 0:
		return exitCannotRun
	}
	return exitHeld
}

// traffic sends requests and counts how they ended.
type traffic struct {
	f        *fleet
	requests sync.WaitGroup

	mu                               sync.Mutex
	sent, whole, failed, left, short int
	items, wholeItems, shortItems    int
}

func (t *traffic) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		pause := time.Duration(rand.ExpFloat64() / cutRate * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(min(pause, time.Second)):
		}
		t.requests.Go(func() { t.request(n) })
	}
}

func (t *traffic) request(n int) {
	id, gateway := fmt.Sprintf("%016x", rand.Uint64()), t.f.front(n%len(t.f.gateways))
	path := fmt.Sprintf("/tag/unframed/%d", n)
	t.f.record.log("sent %s %s to %s", id, path, gateway)
	a := streamRequest(gateway, id, path, promptOf(id), cutEvents, 5*time.Second, max(2*time.Second, 8*cutGap))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	kind := "failed"
	switch {
	case a.gaveUp:
		t.left++
		kind = "left by the client"
	case a.status == 200 && a.whole && len(a.events) < cutEvents:
		t.short++
		kind = "SHORT, BUT COMPLETE"
	case a.status == 200 && a.whole:
		t.whole++
		kind = "whole"
	default:
		t.failed++
	}
	t.f.record.log("answered %s: %s, status %d, %d of %d events, seal %q, error %v", id, kind, a.status, len(a.events), cutEvents, a.seal, a.err)
}

func (t *traffic) runJobs(stop <-chan struct{}) {
	ticker := time.NewTicker(jobInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			t.requests.Go(t.job)
		}
	}
}

// job submits a job and checks its results.
func (t *traffic) job() {
	var gateways []string
	for i := range t.f.gateways {
		gateways = append(gateways, t.f.front(i))
	}
	rand.Shuffle(len(gateways), func(i, k int) { gateways[i], gateways[k] = gateways[k], gateways[i] })
	j := newBatchJob(fmt.Sprintf("%016x", rand.Uint64()), "/jobs/unframed/", jobItems, jobEvents)
	if !j.submit(gateways) {
		t.f.record.log("job %s isn't accepted", j.id)
		return
	}
	t.f.record.log("job %s is accepted", j.id)
	paths := map[string]string{}
	for _, item := range j.items {
		paths[item.ID] = item.Path
	}
	results := j.read(gateways, time.Now().Add(jobTime))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.items += jobItems
	for _, r := range results {
		lines := len(strings.Split(r.Text, "\n"))
		switch {
		case r.State != "completed":
			t.f.record.log("item %s of job %s: %s", r.ID, j.id, r.State)
		case r.Text == wholeText(paths[r.ID], jobEvents):
			t.wholeItems++
		default:
			t.shortItems++
			t.f.record.log("item %s of job %s: COMPLETED, BUT NOT WHOLE, %d of %d events", r.ID, j.id, lines, jobEvents)
		}
	}
	t.f.record.log("job %s: %d of %d results", j.id, len(results), jobItems)
}

// cut cuts a server off. It crashes behind the cut and starts again as another instance at its address.
func (t *traffic) cut(s *server, round cutRound) {
	f, old, began := t.f, s.entry(), time.Now()
	s.link.cut()
	f.record.log("server %s is cut off", s.id())
	time.Sleep(cutCrashAfter)
	s.process.kill()
	f.record.log("server %s is killed behind the cut", s.id())
	time.Sleep(round.down)
	s.incarnation++
	s.startProcess()
	f.record.log("server %s starts at the same address", s.id())
	time.AfterFunc(listLag, func() {
		f.list.remove(old.ID)
		f.list.set(s.entry())
	})
	time.Sleep(round.length - time.Since(began))
	s.link.heal()
	f.record.log("the link to server %s is whole again", s.id())
}
