package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "service.example"

// route is a route in the operator's form.
type route struct {
	Name         string `json:"name"`
	Host         string `json:"host"`
	PathPrefix   string `json:"path-prefix"`
	Kind         string `json:"kind"`
	TimeoutMs    int    `json:"timeout-ms"`
	TargetMs     int    `json:"target-latency-ms"`
	Priority     int    `json:"priority"`
	Service      string `json:"service"`
	MaxAttempts  int    `json:"max-attempts"`
	Sticky       bool   `json:"sticky,omitempty"`
	Resumable    bool   `json:"resumable"`
	GapTargetMs  int    `json:"gap-target-ms,omitempty"`
	CompletionMs int    `json:"completion-target-ms,omitempty"`
	RetentionS   int    `json:"retention-s,omitempty"`
	Cap          int    `json:"cap,omitempty"`
}

func streamRoute(name, service string) route {
	return route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: "streaming", TimeoutMs: 5000, TargetMs: 300, Service: service,
		MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 200,
	}
}

func batchRoute(name, service string) route {
	return route{
		Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: "batch", TimeoutMs: 4000, TargetMs: 500, Priority: 2, Service: service,
		MaxAttempts: 3, GapTargetMs: 200, CompletionMs: 18000, RetentionS: 120, Cap: 2600000,
	}
}

// configuration returns a whole configuration in the operator's form.
func configuration(version int, services []string, routes ...route) []byte {
	type service struct {
		Name       string `json:"name"`
		HealthPath string `json:"health-path"`
		MaxConns   int    `json:"max-conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
	document := struct {
		Version  int            `json:"version"`
		Routes   []route        `json:"routes"`
		Services []service      `json:"services"`
		Limits   map[string]int `json:"limits"`
	}{Version: version, Routes: routes, Limits: map[string]int{
		"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
	}}
	for _, name := range services {
		document.Services = append(document.Services, service{Name: name, HealthPath: "/health", MaxConns: 390, Protocol: "h1"})
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return data
}

// replace sends a configuration as the operator does, until a machine acknowledges it.
func (f *fleet) replace(ctx context.Context, version int, document []byte) error {
	client := &http.Client{Timeout: time.Second}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := f.operator[attempt%len(f.operator)]
		response, err := client.Post("http://"+address+"/toucanhinge/Config.Replace", "application/json", bytes.NewReader(document))
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				f.record.log("operator: configuration %d acknowledged by way of %s", version, address)
				return nil
			}
			if response.StatusCode < 500 {
				return fmt.Errorf("configuration %d: %d %s", version, response.StatusCode, body)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ctx.Err()
}

// lotItem is an item of a batch job in the clients' form.
type lotItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	events  int
}

type lotResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

func newLot(prefix, job string, events []int) []lotItem {
	var items []lotItem
	for n, count := range events {
		id := fmt.Sprintf("%s-%d", job, n)
		items = append(items, lotItem{
			ID: id, Path: "/" + prefix + "/" + id, Body: base64.StdEncoding.EncodeToString([]byte("question " + id)), Tokens: 350 + 5*count,
			Headers: map[string]string{
				"X-Model": "m", "X-Token-Count": fmt.Sprintf("350,%d", 5*count), "X-Length-Hint": strconv.Itoa(count),
			},
			events: count,
		})
	}
	return items
}

// wholeText is the text of an item whose output is complete.
func (i lotItem) wholeText() string {
	var data []string
	for n := 1; n <= i.events; n++ {
		data = append(data, eventData(i.ID, n))
	}
	return strings.Join(data, "\n")
}

func (f *fleet) call(ctx context.Context, method, address, path string, header map[string]string, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	request.Host = host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, data, err
}

// submit sends a batch job until it is accepted.
func (f *fleet) submit(ctx context.Context, prefix, job string, items []lotItem) error {
	body, err := json.Marshal(struct {
		Items []lotItem `json:"items"`
	}{items})
	if err != nil {
		return err
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		status, _, _, err := f.call(ctx, http.MethodPost, f.front[attempt%len(f.front)], "/"+prefix+"/"+job,
			map[string]string{"X-Request-Id": job, "Content-Type": "application/json", "X-Deadline-Ms": "4000"}, body)
		if err == nil && status == http.StatusAccepted {
			f.record.log("client: batch job %s with %d items answered 202", job, len(items))
			return nil
		}
		f.record.log("client: batch job %s answered %d %v", job, status, err)
		time.Sleep(100 * time.Millisecond)
	}
	return ctx.Err()
}

// page is a page of results.
type page struct {
	Total   int         `json:"total"`
	Next    int         `json:"next-token"`
	Results []lotResult `json:"results"`
}

// read reads the results of a batch job from a position at one gateway.
func (f *fleet) read(ctx context.Context, gateway int, job string, after int) (int, page, error) {
	status, _, body, err := f.call(ctx, http.MethodGet, f.front[gateway%len(f.front)], fmt.Sprintf("/toucanhinge/lots/%s?after=%d", job, after),
		map[string]string{"X-Wait-Ms": "1000"}, nil)
	var p page
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &p)
	}
	return status, p, err
}

// ask sends one streaming request and returns its status and its body.
func (f *fleet) ask(ctx context.Context, gateway int, prefix, id string, events int) (int, http.Header, []byte, error) {
	return f.call(ctx, http.MethodPost, f.front[gateway%len(f.front)], "/"+prefix+"/"+id, map[string]string{
		"X-Request-Id": id, "X-Model": "m", "X-Token-Count": fmt.Sprintf("450,%d", 5*events), "X-Length-Hint": strconv.Itoa(events), "X-Deadline-Ms": "5000",
	}, []byte("question "+id))
}

// checkLot reads the results of a batch job until all are listed, and counts the completed ones whose text isn't the
// whole output of their item.
func (f *fleet) checkLot(ctx context.Context, gateway int, job string, items []lotItem, deadline time.Time) (bad, read int) {
	byID := map[string]lotItem{}
	for _, i := range items {
		byID[i.ID] = i
	}
	for attempt := gateway; read < len(items) && time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		status, p, err := f.read(ctx, attempt, job, read)
		if err != nil || status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, r := range p.Results {
			read++
			item := byID[r.ID]
			ran, finished := f.runsOf(r.ID)
			f.record.log("client: %s of %s is %s with %d bytes (%d expected); %d runs, %d to the end", r.ID, job, r.State, len(r.Text), len(item.wholeText()), ran, finished)
			if r.State == "completed" && r.Text != item.wholeText() {
				bad++
				f.record.log("BROKEN: the text of %s is %.80q", r.ID, r.Text)
			}
		}
		if len(p.Results) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return bad, read
}
