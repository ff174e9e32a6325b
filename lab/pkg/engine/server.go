package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	requestIDHeader = "X-Request-Id"
	maxBodyBytes    = 16 << 20
	poisonMark      = "POISON"
	failMark        = "FAIL"
)

var unnamedRequests atomic.Int64

// Handler returns the HTTP handler for all of the engine's endpoints.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.generate(w, r, false) })
	mux.HandleFunc("POST /streams/{id}/cancel", e.handleCancel)
	mux.HandleFunc("POST /streams/{id}/suspend", e.handleSuspend)
	mux.HandleFunc("GET /streams/{id}/resume", e.handleResume)
	mux.HandleFunc("GET /kv/{id}", e.handleExport)
	mux.HandleFunc("PUT /kv/{id}", e.handleImport)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.reportedLoad()) })
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.orders()) })
	mux.HandleFunc("POST /faults", e.handleFaults)
	mux.HandleFunc("GET /ledger", e.handleLedger)
	mux.HandleFunc("GET /models", e.handleModels)
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, healthBody{Name: e.config.Name, OK: true, Loading: e.loadingModel()})
	})
	return e.withFreeze(mux)
}

type healthBody struct {
	Name    string `json:"name"`
	OK      bool   `json:"ok"`
	Loading bool   `json:"loading"`
}

// withFreeze blocks requests while the engine is frozen, except those to /ledger and /faults.
func (e *Engine) withFreeze(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/ledger" && r.URL.Path != "/faults" {
			e.waitWhileFrozen(r.Context())
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if !e.checkAdmission(w, string(body)) {
		return
	}
	parsed, err := parseRequest(body, chat)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	id := r.Header.Get(requestIDHeader)
	if id == "" {
		id = fmt.Sprintf("unnamed-%d", unnamedRequests.Add(1))
	}
	faults := e.nextResponseFaults()
	if faults.Status != 0 {
		writeError(w, faults.Status, "fault", "status fault")
		return
	}
	s := newSequence(id, parsed, chat, time.Now())
	e.submit(s, itemMark(string(body)))
	if parsed.Stream {
		newStreamWriter(e, w, r, s, 0, faults).serve(0)
		return
	}
	e.serveNonStreaming(w, r, s, faults)
}

// checkAdmission crashes on the poison mark, and refuses bodies with the fail mark
// and all requests while weights are loading.
func (e *Engine) checkAdmission(w http.ResponseWriter, body string) bool {
	if strings.Contains(body, poisonMark) {
		e.config.Exit(crashCode)
	}
	if strings.Contains(body, failMark) {
		writeError(w, http.StatusInternalServerError, "fail_mark", "the body asks for a failure")
		return false
	}
	if e.loadingModel() {
		writeError(w, http.StatusServiceUnavailable, "loading", "weights are loading")
		return false
	}
	return true
}

// itemMark returns the text between ITEM[ and ], by which tests identify an item.
func itemMark(body string) string {
	_, rest, ok := strings.Cut(body, "ITEM[")
	if !ok {
		return ""
	}
	mark, _, ok := strings.Cut(rest, "]")
	if !ok {
		return ""
	}
	return mark
}

// nextResponseFaults returns the faults of the next response. After Faults.Count
// affected responses it returns none.
func (e *Engine) nextResponseFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.affectsResponses() {
		return Faults{}
	}
	if e.faults.Count > 0 {
		e.faultHits++
		if e.faultHits > e.faults.Count {
			return Faults{}
		}
	}
	return e.faults
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.writeFound(w, e.cancel(r.PathValue("id")))
}

func (e *Engine) handleSuspend(w http.ResponseWriter, r *http.Request) {
	e.writeFound(w, e.suspend(r.PathValue("id")))
}

func (e *Engine) writeFound(w http.ResponseWriter, found bool) {
	if !found {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		writeError(w, http.StatusBadRequest, "after", "after must be a number")
		return
	}
	s, owner := e.resume(r.PathValue("id"))
	if s == nil {
		writeError(w, http.StatusNotFound, "unknown_stream", "no such stream")
		return
	}
	newStreamWriter(e, w, r, s, owner, Faults{}).serve(after)
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	data, ok := e.exportKV(r.PathValue("id"))
	if !ok {
		writeError(w, http.StatusNotFound, "unknown_stream", "no KV of that stream")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = e.importKV(r.PathValue("id"), data)
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "kv", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

type cacheEventsBody struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	events := e.events.since(since, time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, cacheEventsBody{Events: events})
}

type fenceBody struct {
	Fence uint64 `json:"fence"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order orderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil || !order.hasKnownKind() {
		writeError(w, http.StatusBadRequest, "order", "no such order")
		return
	}
	fence, applied := e.applyOrder(order)
	if !applied {
		writeJSON(w, http.StatusConflict, fenceBody{Fence: fence})
		return
	}
	writeJSON(w, http.StatusOK, fenceBody{Fence: fence})
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		writeError(w, http.StatusBadRequest, "faults", err.Error())
		return
	}
	if faults.Crash {
		e.config.Exit(crashCode)
	}
	e.mu.Lock()
	e.faults, e.faultHits = faults, 0
	e.frozenUntil = time.Now().Add(time.Duration(faults.FreezeMs) * time.Millisecond)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Ledger is the response body of GET /ledger.
type Ledger struct {
	Records []Record `json:"records"`
	// Tokens and Steps count all generated tokens and all steps since the start.
	Tokens int64 `json:"tokens"`
	Steps  int64 `json:"steps"`
}

// handleLedger serves GET /ledger. With ?records=none it omits the records, so that
// an experiment can count tokens without slowing the engine down.
func (e *Engine) handleLedger(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	response := Ledger{Tokens: e.tokens, Steps: e.steps}
	if r.URL.Query().Get("records") != "none" {
		response.Records = e.ledger.all()
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, response)
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	state := e.orders()
	body := modelsBody{Object: "list", Data: []modelBody{{ID: state.Model, Object: "model"}}}
	if state.Adapter != "" {
		body.Data = append(body.Data, modelBody{ID: state.Adapter, Object: "model"})
	}
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, kind, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Message: message, Type: kind}})
}
