package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// batchJob is a batch job of a client.
type batchJob struct {
	id    string
	items []batchItem
}

type batchItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// batchResult is a result as it is listed.
type batchResult struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// newBatchJob returns a job of items that are answered with a number of events.
func newBatchJob(id, prefix string, items, events int) batchJob {
	j := batchJob{id: id}
	for n := range items {
		item := fmt.Sprintf("%s%02x", id, n)
		j.items = append(j.items, batchItem{
			ID: item, Path: prefix + item, Body: []byte("question"), Tokens: 350 + events,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": fmt.Sprintf("350,%d", events), "X-Prompt-Prefix": "9c2e41:100," + item + ":250", "X-Events": strconv.Itoa(events)},
		})
	}
	return j
}

// wholeText returns the whole output of an item.
func wholeText(path string, events int) string {
	var lines []string
	for n := 1; n <= events; n++ {
		lines = append(lines, eventData(path, n))
	}
	return strings.Join(lines, "\n")
}

// submit sends a job to one gateway after the other until it is accepted.
func (j batchJob) submit(gateways []string) bool {
	body, err := json.Marshal(map[string]any{"items": j.items})
	check(err)
	for attempt := range 10 {
		status, _ := call(http.MethodPost, gateways[attempt%len(gateways)], "/jobs/"+j.id, j.id, "", body)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// read reads the results of a job, about twice a second, until all are listed or the time is over.
func (j batchJob) read(gateways []string, until time.Time) []batchResult {
	var results []batchResult
	for attempt := 0; time.Now().Before(until); attempt++ {
		path := fmt.Sprintf("/toucanhinge/lots/%s?after=%d", j.id, len(results))
		status, body := call(http.MethodGet, gateways[attempt%len(gateways)], path, "", "1000", nil)
		var page struct {
			Total   int           `json:"total"`
			Results []batchResult `json:"results"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &page) == nil {
			results = append(results, page.Results...)
			if len(results) == page.Total {
				return results
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	return results
}

// call makes one call about a job on a new connection. The status is 0 if there was no answer.
func call(method, gateway, path, id, wait string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+gateway+path, bytes.NewReader(body))
	check(err)
	request.Host = host
	if id != "" {
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", "4000")
		request.Header.Set("Content-Type", "application/json")
	}
	if wait != "" {
		request.Header.Set("X-Wait-Ms", wait)
	}
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}
