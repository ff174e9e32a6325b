package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["broken-answer"] = testCase{run: brokenAnswer, controls: 3, gateways: 3} }

// answerBytes is the size of an answer of the plain runners.
const answerBytes = 200 << 10

// plainAnswer is the whole answer to a request. It is the same at every runner.
func plainAnswer(id string) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, answerBytes/len(line)+1)[:answerBytes]
}

// plainRunner answers requests of idempotent routes in chunks. It breaks off a share of its answers halfway.
type plainRunner struct {
	*runner
	breakOff float64

	mu   sync.Mutex
	sent map[string]string
}

func (r *plainRunner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != r.entry.ID {
		w.Header().Set("X-Instance-Id", r.entry.ID)
		r.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if !r.takeSlot(w, request) {
		return
	}
	defer func() { <-r.slots }()
	w.Header().Set("X-Response-Seal", "seal."+r.entry.ID+"."+id)
	w.Header().Set("Content-Type", "text/plain")
	r.setLoad(w)
	answer := plainAnswer(id)
	half := answer[:answerBytes/2]
	controller := http.NewResponseController(w)
	_, _ = w.Write([]byte(half))
	_ = controller.Flush()
	time.Sleep(r.step)
	if rand.Float64() < r.breakOff {
		r.note(id, fmt.Sprintf("%s broke off after %d bytes", r.entry.ID, len(half)))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(answer[len(half):]))
	r.note(id, fmt.Sprintf("%s sent all of %d bytes", r.entry.ID, len(answer)))
}

func (r *plainRunner) note(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = what
}

// sentBy returns what the runners sent in answer to a request.
func sentBy(runners []*plainRunner, id string) string {
	var sent []string
	for _, r := range runners {
		r.mu.Lock()
		if what := r.sent[id]; what != "" {
			sent = append(sent, what)
		}
		r.mu.Unlock()
	}
	return strings.Join(sent, ", ")
}

// brokenAnswer lets half of the runners break off two in a hundred of their answers. A client must never get a success
// whose body isn't the whole body of a runner.
func brokenAnswer(f *fleet, trouble bool) (int, error) {
	const (
		play    = 30 * time.Second
		clients = 12
		pause   = 20 * time.Millisecond
		share   = 0.5
		part    = 0.02
	)
	var runners []*plainRunner
	for k := range 4 {
		r, err := f.addRunner(k+1, "service-a", "v1", 8, 10*time.Millisecond)
		if err != nil {
			return exitNotRun, err
		}
		plain := &plainRunner{runner: r, sent: map[string]string{}}
		if trouble && float64(k) < share*4 {
			plain.breakOff = part
		}
		r.server.Handler = plain
		runners = append(runners, plain)
	}
	if err := f.startPrograms(); err != nil {
		return exitNotRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	documents := route{
		Name: "documents", Host: host, PathPrefix: "/documents/", Kind: "idempotent", TimeoutMs: 5000, TargetMs: 300, Service: "service-a", MaxAttempts: 2,
	}
	if err := f.replace(ctx, 1, configuration(1, []string{"service-a"}, documents)); err != nil {
		return exitNotRun, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return exitNotRun, err
	}
	end := time.Now().Add(play)
	var mu sync.Mutex
	whole, failed, broken := 0, 0, 0
	var tasks sync.WaitGroup
	for n := range clients {
		tasks.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("d-%d-%d", n, k)
				status, header, body, err := f.ask(ctx, n+k, "documents", id, 1)
				verdict := "whole"
				mu.Lock()
				switch {
				case err != nil || status != http.StatusOK:
					failed++
					verdict = fmt.Sprintf("failed (%v)", err)
				case string(body) == plainAnswer(id):
					whole++
				default:
					broken++
					verdict = fmt.Sprintf("BROKEN: looks complete, but a runner's whole body has %d bytes", answerBytes)
				}
				mu.Unlock()
				f.record.log("%s sent to %s; run: %s; answered %d with the seal %q and %d bytes: %s", id, f.gateways[(n+k)%len(f.gateways)].name,
					sentBy(runners, id), status, header.Get("X-Response-Seal"), len(body), verdict)
				time.Sleep(pause)
			}
		})
	}
	tasks.Wait()
	f.record.log("%d requests got the whole answer, %d failed or were cut off, %d got a success with another body", whole, failed, broken)
	fmt.Printf("%d whole, %d failed, %d broken\n", whole, failed, broken)
	if whole == 0 {
		return exitNotRun, fmt.Errorf("no request was served")
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
