package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["foreign-entry"] = testCase{run: foreignEntry, controls: 3, gateways: 3} }

// unreadableEntry is an entry of another writer: its bytes are no text that can be read.
const unreadableEntry = "{\"id\":\"\x00\x93\xfe\x07\",\"service\":\"\xff\x01\",\"state\":\"\x1b\"}"

// foreignEntry puts an entry on the list of runners that another program wrote and whose bytes can't be read. The other
// entries hold, so that an accepted batch job must be done.
func foreignEntry(f *fleet, trouble bool) (int, error) {
	const (
		completion = 18 * time.Second
		finish     = 18 * time.Second
		lotItems   = 10
	)
	for k := range 3 {
		if _, err := f.addRunner(k+1, "service-a", "v1", 8, 20*time.Millisecond); err != nil {
			return exitNotRun, err
		}
	}
	if trouble {
		f.list.mu.Lock()
		f.list.foreign = []byte(unreadableEntry)
		f.list.mu.Unlock()
		f.record.log("the list of runners holds 3 ready runners and an entry of another writer: %q", unreadableEntry)
	}
	if err := f.startPrograms(); err != nil {
		return exitNotRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	if err := f.replace(ctx, 1, configuration(1, []string{"service-a"}, streamRoute("ask", "service-a"), batchRoute("lots", "service-a"))); err != nil {
		return exitNotRun, err
	}
	if err := f.waitReady(10 * time.Second); err != nil {
		f.record.log("platform: %v 10 s after the start", err)
	}
	items := newLot("lots", "lot-1", []int{30, 31, 32, 33, 34, 35, 36, 37, 38, 39}[:lotItems])
	if err := f.submit(ctx, "lots", "lot-1", items); err != nil {
		return exitNotRun, err
	}
	bad, read := f.checkLot(ctx, 0, "lot-1", items, time.Now().Add(completion+finish))
	ran := 0
	for _, i := range items {
		n, _ := f.runsOf(i.ID)
		ran += n
	}
	status, _, _, err := f.ask(ctx, 0, "ask", "q-1", 7)
	f.record.log("client: request q-1 answered %d %v", status, err)
	f.record.log("%d of %d items of lot-1 are listed %v after the 202; %d runs began at the runners, which are idle", read, len(items), completion+finish, ran)
	fmt.Printf("%d of %d items listed, %d runs, a request answered %d\n", read, len(items), ran, status)
	if bad > 0 || read < len(items) {
		return exitBroken, nil
	}
	return exitHeld, nil
}
