package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Order kinds.
const (
	orderLoadModel   = "load_model"
	orderLoadAdapter = "load_adapter"
	orderSetVersion  = "set_version"
	orderSetRole     = "set_role"
)

type orderRequest struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// orderState is the engine state set by orders, with counters.
type orderState struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
	// Applied counts the applied orders, Refused the orders refused for an old fencing token.
	Applied int `json:"taken"`
	Refused int `json:"refused"`
	// Reverts counts the orders applied despite a fencing token lower than the
	// current one. An engine without a check does this when an order arrives late.
	Reverts int `json:"reverts"`
}

func (r orderRequest) hasKnownKind() bool {
	switch r.Kind {
	case orderLoadModel, orderLoadAdapter, orderSetVersion, orderSetRole:
		return true
	}
	return false
}

// applyOrder applies an order and returns the current fencing token. It returns
// false if the order is refused. Weights are loaded in the background.
func (e *Engine) applyOrder(r orderRequest) (fence uint64, applied bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Fence < e.orderState.Fence {
		if e.config.CheckFence {
			e.orderState.Refused++
			return e.orderState.Fence, false
		}
		e.orderState.Reverts++
	}
	e.orderState.Fence = r.Fence
	e.orderState.Applied++
	if r.Kind == orderSetRole {
		e.orderState.Role = r.Role
		return r.Fence, true
	}
	e.orderState.Loading = true
	go e.load(r)
	return r.Fence, true
}

// load fetches the weights and activates them. New model weights clear the prefix
// cache, since its KV blocks belong to the previous model.
func (e *Engine) load(r orderRequest) {
	name := r.Model
	if r.Kind == orderLoadAdapter {
		name = r.Adapter
	}
	if err := e.fetchWeights(name); err != nil {
		time.Sleep(e.config.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orderState.Fence != r.Fence {
		return
	}
	e.orderState.Loading = false
	switch r.Kind {
	case orderLoadModel:
		e.orderState.Model, e.orderState.Version = r.Model, r.Version
		e.cache.clear()
	case orderLoadAdapter:
		e.orderState.Adapter = r.Adapter
	case orderSetVersion:
		e.orderState.Version = r.Version
		e.cache.clear()
	}
}

func (e *Engine) fetchWeights(name string) error {
	if e.config.Weights == "" {
		time.Sleep(e.config.LoadTime)
		return nil
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.config.Weights+"/weights/"+name, nil)
	if err != nil {
		return fmt.Errorf("create weight store request: %w", err)
	}
	response, err := e.config.Client.Do(request)
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("read weights: %w", err)
	}
	return nil
}

func (e *Engine) orders() orderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderState
}

// loadingModel reports whether weights are loading. Requests are refused meanwhile.
func (e *Engine) loadingModel() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderState.Loading
}
