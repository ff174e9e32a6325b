package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a model server, a process of its own. It answers each request with a stream of events.
type runner struct {
	id, record string
	step       time.Duration
	slots      chan struct{}
	waiting    atomic.Int32
	// crashAfter is the number of events after which a request that crashes its runner does so, 0 for never.
	crashAfter int
	mu         sync.Mutex
	out        *os.File
}

func runRunner(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "")
	address := flags.String("address", "", "")
	step := flags.Duration("step", 20*time.Millisecond, "")
	slots := flags.Int("slots", 8, "")
	path := flags.String("record", "", "")
	crashAfter := flags.Int("crash-after", 0, "")
	_ = flags.Parse(args)
	out, err := os.OpenFile(*path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	r := &runner{id: *id, step: *step, slots: make(chan struct{}, *slots), out: out, crashAfter: *crashAfter}
	listener, err := net.Listen("tcp4", *address)
	check(err)
	for {
		conn, err := listener.Accept()
		check(err)
		go r.serve(conn)
	}
}

func (r *runner) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%d %s "+format+"\n", append([]any{time.Now().UnixMilli(), r.id}, args...)...)
}

// serve answers the requests of one connection, one at a time.
func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(conn, reader, request) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection stays open.
func (r *runner) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("X-Request-Id")
	if want := request.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return err == nil
	}
	if request.Method == http.MethodGet && request.URL.Path == "/health" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: %s\r\nContent-Length: 0\r\n\r\n", r.id, r.load())
		return err == nil
	}
	gone := watchClose(reader)
	r.waiting.Add(1)
	select {
	case r.slots <- struct{}{}:
		r.waiting.Add(-1)
	case <-gone:
		r.waiting.Add(-1)
		return false
	}
	defer func() { <-r.slots }()
	return r.stream(conn, request, id, gone)
}

func (r *runner) load() string {
	return fmt.Sprintf("%d,%d,%d", len(r.slots), r.waiting.Load(), cap(r.slots))
}

// stream writes the events of one run. A stream whose path says so has neither a length nor chunks and ends with its
// connection.
func (r *runner) stream(conn net.Conn, request *http.Request, id string, gone <-chan struct{}) bool {
	events, err := strconv.Atoi(request.Header.Get("X-Events"))
	if err != nil {
		events = 35
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	unframed := strings.Contains(request.URL.Path, "/unframed")
	framing := "Transfer-Encoding: chunked\r\nConnection: close\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	r.log("runs %s after %d unframed=%v", id, after, unframed)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nX-Response-Seal: seal.%s.%s\r\nX-Server-Load: %s\r\n%s\r\n",
		id, r.id, id, r.load(), framing); err != nil {
		return false
	}
	for n := after + 1; n <= events; n++ {
		select {
		case <-gone:
			r.log("stops %s at %d, its connection is closed", id, n-1)
			return false
		case <-time.After(r.step):
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(request.URL.Path, n))
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
		if n == r.crashAfter && crashesServers(request) {
			r.log("crashes by %s", id)
			os.Exit(1)
		}
	}
	if !unframed {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	r.log("completes %s", id)
	return false
}

// deadlyPath marks the paths of requests that crash their servers, deadlyPart is a part of prompts that does.
const (
	deadlyPath = "/deadly"
	deadlyPart = "bad0c4"
)

// crashesServers reports whether a request crashes each server that runs it.
func crashesServers(request *http.Request) bool {
	return strings.Contains(request.URL.Path, deadlyPath) || strings.Contains(request.Header.Get("X-Prompt-Prefix"), ","+deadlyPart+":")
}

func eventData(path string, n int) string { return fmt.Sprintf("%s.%d", strings.Trim(path, "/"), n) }

// watchClose reports when the caller closes the connection. The next request is sent on another one: this runner closes
// its connections after each answer.
func watchClose(reader *bufio.Reader) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		_, _ = reader.Peek(1)
		close(gone)
	}()
	return gone
}
