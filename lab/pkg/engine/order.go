package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Kinds of orders.
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

// orderState is what the engine holds by its orders.
type orderState struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
	// Applied counts the orders carried out, Refused those with an old number.
	Applied   int `json:"taken"`
	Refused int `json:"refused"`
	// Reverts counts orders carried out though a higher number was held: what
	// an engine without a check does when a late order reaches it.
	Reverts int `json:"reverts"`
}

func (r orderRequest) known() bool {
	switch r.Kind {
	case orderLoadModel, orderLoadAdapter, orderSetVersion, orderSetRole:
		return true
	}
	return false
}

// takeOrder starts an order; it says false with the held number when refused.
func (e *Engine) takeOrder(r orderRequest) (held uint64, taken bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Fence < e.order.Fence {
		if e.config.CheckFence {
			e.order.Refused++
			return e.order.Fence, false
		}
		e.order.Reverts++
	}
	e.order.Fence = r.Fence
	e.order.Applied++
	if r.Kind == orderSetRole {
		e.order.Role = r.Role
		return r.Fence, true
	}
	e.order.Loading = true
	go e.load(r)
	return r.Fence, true
}

// load fetches the weights, then puts them in place. Model weights drop the
// prefix cache, since it holds another model's KV.
func (e *Engine) load(r orderRequest) {
	name := r.Model
	if r.Kind == orderLoadAdapter {
		name = r.Adapter
	}
	if err := e.fetch(name); err != nil {
		time.Sleep(e.config.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.Fence != r.Fence {
		return
	}
	e.order.Loading = false
	switch r.Kind {
	case orderLoadModel:
		e.order.Model, e.order.Version = r.Model, r.Version
		e.cache.clear()
	case orderLoadAdapter:
		e.order.Adapter = r.Adapter
	case orderSetVersion:
		e.order.Version = r.Version
		e.cache.clear()
	}
}

func (e *Engine) fetch(name string) error {
	if e.config.Weights == "" {
		time.Sleep(e.config.LoadTime)
		return nil
	}
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, e.config.Weights+"/weights/"+name, nil)
	if err != nil {
		return fmt.Errorf("ask weight store: %w", err)
	}
	answer, err := e.config.Client.Do(request)
	if err != nil {
		return fmt.Errorf("fetch weights: %w", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return fmt.Errorf("read weights: %w", err)
	}
	return nil
}

func (e *Engine) orders() orderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order
}

// loadingModel tells whether requests must be refused for now.
func (e *Engine) loadingModel() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order.Loading
}
