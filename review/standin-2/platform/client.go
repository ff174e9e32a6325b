package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const host = "service.example"

// answer is what a client received for one request.
type answer struct {
	status int
	seal   string
	events []string
	// whole is set if the answer ended as complete in the protocol.
	whole bool
	// gaveUp is set if the client closed the stream because of a gap between two events.
	gaveUp bool
	err    error
}

// promptOf returns the parts of the prompt of a request: one that all requests share, more of them if there are any, and
// its own.
func promptOf(id string, shared ...string) string {
	parts := "5c1e07a2:200,"
	for _, part := range shared {
		parts += part + ":50,"
	}
	return parts + id + ":250"
}

// streamRequest sends a request for a stream on a new connection and reads the answer. It leaves after patience without
// an event, as clients do.
func streamRequest(gateway, id, path, prompt string, events int, deadline, patience time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+path, strings.NewReader("question "+path))
	check(err)
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Count", "450,80")
	request.Header.Set("X-Prompt-Prefix", prompt)
	request.Header.Set("X-Events", strconv.Itoa(events))
	transport := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	a := answer{}
	timer := time.AfterFunc(patience, func() { a.gaveUp = true; cancel() })
	defer timer.Stop()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.whole = errors.Is(err, io.EOF)
			if !a.whole {
				a.err = err
			}
			return a
		}
		if data, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			timer.Reset(patience)
			a.events = append(a.events, data)
		}
	}
}
