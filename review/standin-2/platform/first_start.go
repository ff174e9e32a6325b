package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// firstKill is the time from the start of a machine of the core to its loss.
	firstKill = 20 * time.Millisecond
	// replacedAfter is the time from its loss to the start of the empty machine that replaces it.
	replacedAfter = time.Second
	// watched is how long the operator tries to get its configuration acknowledged.
	watched = 60 * time.Second
	// ackBound is ack-ms, counted from stable-window-ms after the last event in the core, with 3 ms for each route.
	ackBound = 3*time.Second + 4*time.Second + 6*time.Millisecond
)

// firstStart starts a system for the first time. One of its three machines with a disk is lost at once and replaced by an
// empty one at another address. The operator sends its first configuration until it is acknowledged.
func firstStart(f *fleet, trouble bool) int {
	s := &server{f: f, incarnation: 1, step: crashStep, slots: crashSlots}
	s.link = startProxy(s.listed(), s.own())
	s.startProcess()
	f.list.set(s.entry())
	f.startSystem(3, 3)
	addresses := []string{f.controlAddress(0), f.controlAddress(1), f.controlAddress(2)}
	if trouble {
		time.Sleep(firstKill)
		f.cores[2].kill()
		f.record.log("machine %s is lost", addresses[2])
		time.Sleep(replacedAfter)
		f.cores = append(f.cores, f.startCore(3, f.seeds(3), false))
		addresses[2] = f.controlAddress(3)
		f.record.log("an empty machine replaces it: %s", addresses[2])
	}
	stableAt := time.Now()
	client := &http.Client{Timeout: time.Second}
	for attempt := 0; time.Since(stableAt) < watched; attempt++ {
		address := addresses[attempt%len(addresses)]
		status := "no answer"
		if response, err := client.Post("http://"+address+"/toucanhinge/Config.Replace", "application/json", strings.NewReader(crashConfiguration)); err == nil {
			_ = response.Body.Close()
			status = response.Status
		}
		f.record.log("configuration 1 to %s: %s", address, status)
		if strings.HasPrefix(status, "200") {
			return f.judgeFirstAck(time.Since(stableAt))
		}
		time.Sleep(250 * time.Millisecond)
	}
	for i := range f.gateways {
		id := fmt.Sprintf("%016x", i+1)
		a := streamRequest(f.front(i), id, "/tag/first/1", promptOf(id), crashEvents, 5*time.Second, 2*time.Second)
		f.record.log("request %s to %s: status %d, %d events, error %v", id, f.front(i), a.status, len(a.events), a.err)
	}
	fmt.Printf("no acknowledgement in %v\n", watched)
	return exitBroken
}

// judgeFirstAck judges the first acknowledgement, and checks that a request is served after it.
func (f *fleet) judgeFirstAck(took time.Duration) int {
	fmt.Printf("acknowledged after %.1f s\n", took.Seconds())
	if took > ackBound {
		return exitBroken
	}
	if err := f.awaitReady(); err != nil {
		f.record.log("%v", err)
		return exitCannotRun
	}
	a := streamRequest(f.front(0), "0000000000000001", "/tag/first/1", promptOf("01"), crashEvents, 5*time.Second, 2*time.Second)
	f.record.log("a request: status %d, %d events, whole %v, error %v", a.status, len(a.events), a.whole, a.err)
	if !a.whole || a.status != http.StatusOK {
		return exitCannotRun
	}
	return exitHeld
}
