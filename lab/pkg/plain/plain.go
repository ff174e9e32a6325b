// Package plain is a stand-in for a plain service. It echoes each call and keeps
// a ledger of how often each request id ran, the oracle for non-idempotent calls.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	requestIDHeader = "X-Request-Id"
	bodyMost        = 16 << 20
	crashCode       = 3
)

// Faults says what goes wrong; POST /faults replaces the whole.
type Faults struct {
	Crash bool `json:"crash"`
	// FreezeMs stops every answer for that long.
	FreezeMs int64 `json:"freeze_ms"`
	// LateMs holds back each answer after the run.
	LateMs int64 `json:"late_ms"`
	// Status, when set, is answered after the run.
	Status int `json:"status"`
	// Cut breaks the connection after the run, before the answer.
	Cut bool `json:"cut"`
	// Garbage answers bytes that are no JSON.
	Garbage bool `json:"garbage"`
	// Count is how many requests are hit; 0 means all.
	Count int `json:"count"`
}

// Record is what the service knows of one request id.
type Record struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// Ledger is the answer of GET /ledger.
type Ledger struct {
	Records []Record `json:"records"`
	Runs    int      `json:"runs"`
}

// Config is how a service is built.
type Config struct {
	Name   string
	Faults Faults
	// Exit ends the process on a crash; nil means os.Exit.
	Exit func(code int)
}

// Service is the stand-in.
type Service struct {
	config Config
	mu     sync.Mutex
	runs   map[string]int
	total  int
	faults Faults
	hits   int
	frozen time.Time
}

// New builds a service.
func New(config Config) *Service {
	if config.Exit == nil {
		config.Exit = os.Exit
	}
	return &Service{config: config, runs: make(map[string]int), faults: config.Faults}
}

// Handler is the service's whole HTTP surface.
func (p *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthBody{Name: p.config.Name, OK: true})
	})
	mux.HandleFunc("GET /ledger", p.handleLedger)
	mux.HandleFunc("POST /faults", p.handleFaults)
	mux.HandleFunc("/", p.handleCall)
	return mux
}

type healthBody struct {
	Name string `json:"name"`
	OK   bool   `json:"ok"`
}

type echoBody struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

func (p *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(string(body), "POISON") {
		p.config.Exit(crashCode)
	}
	run, faults, frozen := p.run(idOf(r, string(body)))
	if wait := max(time.Until(frozen), time.Duration(faults.LateMs)*time.Millisecond); wait > 0 {
		time.Sleep(wait)
	}
	switch {
	case faults.Cut:
		panic(http.ErrAbortHandler)
	case faults.Garbage:
		_, _ = w.Write([]byte("\x00\xff<<"))
	case faults.Status != 0:
		http.Error(w, "status fault", faults.Status)
	default:
		writeJSON(w, http.StatusOK, echoBody{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body), Run: run})
	}
}

// idOf is the text between ITEM[ and ] in the body, by which tests know a call
// again whatever ids it got on its way; else the request id.
func idOf(r *http.Request, body string) string {
	if _, rest, ok := strings.Cut(body, "ITEM["); ok {
		if mark, _, ok := strings.Cut(rest, "]"); ok {
			return mark
		}
	}
	return r.Header.Get(requestIDHeader)
}

func (p *Service) run(id string) (run int, faults Faults, frozen time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
	p.total++
	faults = p.faults
	if faults.Count > 0 {
		p.hits++
		if p.hits > faults.Count {
			faults = Faults{}
		}
	}
	return p.runs[id], faults, p.frozen
}

func (p *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyMost)).Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("parse faults: %v", err), http.StatusBadRequest)
		return
	}
	if faults.Crash {
		p.config.Exit(crashCode)
	}
	p.mu.Lock()
	p.faults, p.hits = faults, 0
	p.frozen = time.Now().Add(time.Duration(faults.FreezeMs) * time.Millisecond)
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Service) handleLedger(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	answer := Ledger{Records: make([]Record, 0, len(p.runs)), Runs: p.total}
	for id, runs := range p.runs {
		answer.Records = append(answer.Records, Record{ID: id, Runs: runs})
	}
	p.mu.Unlock()
	sort.Slice(answer.Records, func(i, j int) bool { return answer.Records[i].ID < answer.Records[j].ID })
	writeJSON(w, http.StatusOK, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
