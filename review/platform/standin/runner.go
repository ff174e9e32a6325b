package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// entry is a runner as the platform's list shows it.
type entry struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold-left-ms"`
	Stage    string  `json:"stage"`
	Models   []model `json:"models"`
	Born     int64   `json:"born"`
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// list is the platform's list of runners.
type list struct {
	server  *http.Server
	mu      sync.Mutex
	entries map[string]entry
	// foreign is an entry of another writer, as it stands on the list; nil for none.
	foreign []byte
}

func startList(address string) (*list, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &list{entries: map[string]entry{}}
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

func (l *list) set(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[e.ID] = e
}

func (l *list) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}

func (l *list) close() { _ = l.server.Close() }

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries [][]byte
	for _, e := range l.entries {
		data, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		entries = append(entries, data)
	}
	if l.foreign != nil {
		entries = append(entries, l.foreign)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next-token":null}`, bytes.Join(entries, []byte(",")))
}

// runner is a sound model runner: it runs as many requests at once as it has slots, queues some more in the order
// of arrival, answers with numbered events and drops a request when its connection closes.
type runner struct {
	entry  entry
	step   time.Duration
	queue  int32
	record *record

	server  *http.Server
	slots   chan struct{}
	waiting atomic.Int32

	mu sync.Mutex
	// ran counts the runs that began by request, finished those that wrote their last event.
	ran, finished map[string]int
}

func (f *fleet) addRunner(host int, service, version string, slots int, step time.Duration) (*runner, error) {
	address := fmt.Sprintf("%s:%d", f.net.ip(3, host), f.net.ports[portRunner])
	r := &runner{
		entry: entry{
			ID: fmt.Sprintf("i-%s-%d", service, host), Service: service, Address: address, Zone: "zone-1", Version: version, Slots: slots,
			State: "ready", Stage: "both", Models: []model{{Name: "m", Version: 1, Adapters: []string{}}}, Born: time.Now().UnixMilli(),
		},
		step: step, queue: 24, record: f.record, slots: make(chan struct{}, slots), ran: map[string]int{}, finished: map[string]int{},
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	f.runners = append(f.runners, r)
	f.list.set(r.entry)
	return r, nil
}

func (r *runner) close() { _ = r.server.Close() }

func (r *runner) setLoad(w http.ResponseWriter) {
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting.Load(), cap(r.slots)))
}

func (r *runner) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// takeSlot waits for a slot in the runner's queue.
func (r *runner) takeSlot(w http.ResponseWriter, request *http.Request) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	if r.waiting.Add(1) > r.queue {
		r.waiting.Add(-1)
		r.setLoad(w)
		r.reject(w, http.StatusServiceUnavailable)
		return false
	}
	defer r.waiting.Add(-1)
	select {
	case r.slots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != r.entry.ID {
		w.Header().Set("X-Instance-Id", r.entry.ID)
		r.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		r.reject(w, http.StatusBadRequest)
		return
	}
	if !r.takeSlot(w, request) {
		return
	}
	defer func() { <-r.slots }()
	events, err := strconv.Atoi(request.Header.Get("X-Length-Hint"))
	if err != nil {
		events = 1
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	r.mu.Lock()
	r.ran[id]++
	r.mu.Unlock()
	w.Header().Set("X-Response-Seal", "seal."+r.entry.ID+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	r.setLoad(w)
	if !r.write(w, request, id, after, events) {
		return
	}
	r.mu.Lock()
	r.finished[id]++
	r.mu.Unlock()
}

func (r *runner) write(w http.ResponseWriter, request *http.Request, id string, after, events int) bool {
	controller := http.NewResponseController(w)
	for n := after + 1; n <= events; n++ {
		select {
		case <-request.Context().Done():
			return false
		case <-time.After(r.step):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return false
		}
		if err := controller.Flush(); err != nil {
			return false
		}
	}
	return true
}

// eventData is the data of event n of a request. It is the same at every runner.
func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// runsOf returns how many runs of a request began and how many wrote their last event, at all runners.
func (f *fleet) runsOf(id string) (ran, finished int) {
	for _, r := range f.runners {
		r.mu.Lock()
		ran += r.ran[id]
		finished += r.finished[id]
		r.mu.Unlock()
	}
	return ran, finished
}
