// Package plain simulates a plain service. It echoes each call and counts in a ledger how
// often each request id ran, which tests use as the oracle for non-idempotent calls.
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
	maxBodyBytes    = 16 << 20
	crashExitCode   = 3
)

// Faults configures the injected faults. POST /faults replaces all of them.
type Faults struct {
	// Crash ends the process.
	Crash bool `json:"crash"`
	// FreezeMs delays every response until this time has passed since the fault was set.
	FreezeMs int64 `json:"freeze_ms"`
	// LateMs delays each response after the run.
	LateMs int64 `json:"late_ms"`
	// Status, if set, is returned as the HTTP status after the run.
	Status int `json:"status"`
	// Cut closes the connection after the run, before the response.
	Cut bool `json:"cut"`
	// Garbage returns bytes that are not valid JSON.
	Garbage bool `json:"garbage"`
	// Count is the number of requests that the faults affect. 0 means all.
	Count int `json:"count"`
}

// Record counts the runs of one request id.
type Record struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
}

// Ledger is the response body of GET /ledger.
type Ledger struct {
	Records []Record `json:"records"`
	Runs    int      `json:"runs"`
}

// Config configures a Service.
type Config struct {
	Name   string
	Faults Faults
	// Exit ends the process on a crash. It defaults to os.Exit.
	Exit func(code int)
}

// Service is a simulated plain service.
type Service struct {
	config      Config
	mu          sync.Mutex
	runs        map[string]int
	totalRuns   int
	faults      Faults
	faultHits   int
	frozenUntil time.Time
}

// New returns a Service.
func New(config Config) *Service {
	if config.Exit == nil {
		config.Exit = os.Exit
	}
	return &Service{config: config, runs: make(map[string]int), faults: config.Faults}
}

// Handler returns the HTTP handler of all endpoints of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthBody{Name: s.config.Name, OK: true})
	})
	mux.HandleFunc("GET /ledger", s.handleLedger)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("/", s.handleCall)
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

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(string(body), "POISON") {
		s.config.Exit(crashExitCode)
	}
	run, faults, frozenUntil := s.recordRun(callID(r, string(body)))
	if wait := max(time.Until(frozenUntil), time.Duration(faults.LateMs)*time.Millisecond); wait > 0 {
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

// callID returns the identifier under which the ledger counts a call. It is the text between
// ITEM[ and ] in the body, which identifies a call in tests even if its request id changed
// on the way, or else the request id.
func callID(r *http.Request, body string) string {
	if _, rest, ok := strings.Cut(body, "ITEM["); ok {
		if marker, _, ok := strings.Cut(rest, "]"); ok {
			return marker
		}
	}
	return r.Header.Get(requestIDHeader)
}

// recordRun counts one run of a call and returns its number and the faults that apply to it.
func (s *Service) recordRun(id string) (run int, faults Faults, frozenUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.totalRuns++
	faults = s.faults
	if faults.Count > 0 {
		s.faultHits++
		if s.faultHits > faults.Count {
			faults = Faults{}
		}
	}
	return s.runs[id], faults, s.frozenUntil
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, fmt.Sprintf("parse faults: %v", err), http.StatusBadRequest)
		return
	}
	if faults.Crash {
		s.config.Exit(crashExitCode)
	}
	s.mu.Lock()
	s.faults, s.faultHits = faults, 0
	s.frozenUntil = time.Now().Add(time.Duration(faults.FreezeMs) * time.Millisecond)
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) handleLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	ledger := Ledger{Records: make([]Record, 0, len(s.runs)), Runs: s.totalRuns}
	for id, runs := range s.runs {
		ledger.Records = append(ledger.Records, Record{ID: id, Runs: runs})
	}
	s.mu.Unlock()
	sort.Slice(ledger.Records, func(i, j int) bool { return ledger.Records[i].ID < ledger.Records[j].ID })
	writeJSON(w, http.StatusOK, ledger)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
