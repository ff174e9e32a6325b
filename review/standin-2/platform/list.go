package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// entry is a server on the platform's list.
type entry struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Version  string  `json:"version"`
	Slots    int     `json:"slots"`
	State    string  `json:"state"`
	ColdLeft float64 `json:"cold-left-ms"`
}

// serverList is the platform's list of servers.
type serverList struct {
	address string
	mu      sync.Mutex
	entries map[string]entry
}

func startList(address string) *serverList {
	l := &serverList{address: address, entries: map[string]entry{}}
	listener, err := net.Listen("tcp4", address)
	check(err)
	go func() { _ = http.Serve(listener, l) }()
	return l
}

func (l *serverList) set(e entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[e.ID] = e
}

func (l *serverList) remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}

func (l *serverList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := struct {
		Instances []entry `json:"instances"`
		NextToken *string `json:"next-token"`
	}{Instances: []entry{}}
	for _, e := range l.entries {
		page.Instances = append(page.Instances, e)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(page)
}
