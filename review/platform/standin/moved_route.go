package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["moved-route"] = testCase{run: movedRoute, controls: 3, gateways: 3} }

// movedRoute moves the route of batch jobs between two services of different software while online requests come in
// turns to both. Each completed result must hold the whole output of its item.
func movedRoute(f *fleet, trouble bool) (int, error) {
	const (
		play      = 75 * time.Second
		cycle     = 1600 * time.Millisecond
		peakAt    = 1050 * time.Millisecond
		peakEnd   = 1350 * time.Millisecond
		moveAt    = 1030 * time.Millisecond
		askers    = 40
		openLots  = 3
		lotItems  = 8
		lotDrains = 25 * time.Second
	)
	services := []string{"service-a", "service-b"}
	for k := range 2 {
		if _, err := f.addRunner(k+1, services[0], "v1", 8, 20*time.Millisecond); err != nil {
			return exitNotRun, err
		}
	}
	for k := range 4 {
		if _, err := f.addRunner(11+k, services[1], "v7", 8, 20*time.Millisecond); err != nil {
			return exitNotRun, err
		}
	}
	if err := f.startPrograms(); err != nil {
		return exitNotRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	config := func(version, batch int) []byte {
		return configuration(version, services, streamRoute("ask-a", services[0]), streamRoute("ask-b", services[1]), batchRoute("lots", services[batch]))
	}
	if err := f.replace(ctx, 1, config(1, 0)); err != nil {
		return exitNotRun, err
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		return exitNotRun, err
	}
	start := time.Now()
	end := start.Add(play)
	var tasks sync.WaitGroup
	var mu sync.Mutex
	broken, results := 0, 0
	answers := map[int]int{}
	// Online requests come to service A in peaks.
	for n := range askers {
		tasks.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				if at := time.Since(start) % cycle; at < peakAt {
					time.Sleep(peakAt - at)
				} else if at > peakEnd {
					time.Sleep(cycle - at + peakAt)
				}
				id := fmt.Sprintf("q-%d-%d", n, k)
				status, header, _, err := f.ask(ctx, n, "ask-a", id, 7)
				mu.Lock()
				answers[status]++
				mu.Unlock()
				if err != nil || status != http.StatusOK {
					wait, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
					time.Sleep(min(max(time.Duration(wait*float64(time.Second)), 20*time.Millisecond), 300*time.Millisecond))
				}
			}
		})
	}
	// The operator moves the batch route to service B shortly before each peak and back after it.
	if trouble {
		tasks.Go(func() {
			for version := 2; ; version++ {
				at := start.Add(time.Duration((version-2)/2) * cycle)
				if version%2 == 0 {
					at = at.Add(moveAt)
				} else {
					at = at.Add(cycle)
				}
				if at.After(end) {
					return
				}
				time.Sleep(time.Until(at))
				if err := f.replace(ctx, version, config(version, (version+1)%2)); err != nil {
					f.record.log("operator: %v", err)
					return
				}
			}
		})
	}
	for n := range openLots {
		tasks.Go(func() {
			draw := rand.New(rand.NewSource(int64(n)))
			for k := 0; time.Now().Before(end); k++ {
				var counts []int
				for range lotItems {
					counts = append(counts, 8+draw.Intn(9))
				}
				job := fmt.Sprintf("lot-%d-%d", n, k)
				items := newLot("lots", job, counts)
				if f.submit(ctx, "lots", job, items) != nil {
					return
				}
				bad, read := f.checkLot(ctx, n, job, items, end.Add(lotDrains))
				mu.Lock()
				broken += bad
				results += read
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	f.record.log("online requests to service A by their answers' status (0: none): %v", answers)
	f.record.log("%d results were read, %d of them completed without the item's whole output", results, broken)
	fmt.Printf("%d results, %d broken\n", results, broken)
	if results == 0 {
		return exitNotRun, fmt.Errorf("no result was read")
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
