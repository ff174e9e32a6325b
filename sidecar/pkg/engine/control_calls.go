package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrMalformed reports a response that can't be decoded or is invalid.
var ErrMalformed = errors.New("malformed response from the engine")

// Load is the engine's own load report. It lags behind the actual load.
type Load struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	Slots         int   `json:"slots"`
	PrefillTokens int   `json:"prefill_tokens"`
	AsOfMs        int64 `json:"as_of_ms"`
}

// Load fetches the load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	if err := c.get(ctx, "/load", &load); err != nil {
		return Load{}, err
	}
	if load.Running < 0 || load.Waiting < 0 {
		return Load{}, fmt.Errorf("load report has negative counts: %w", ErrMalformed)
	}
	return load, nil
}

// CheckReachable checks whether the port accepts connections. A plain service has no call
// that is free of side effects.
func (c *Client) CheckReachable(ctx context.Context) error {
	dialer := &net.Dialer{}
	connection, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(c.url, "http://"))
	if err != nil {
		return fmt.Errorf("connect to the service: %w", err)
	}
	if err := connection.Close(); err != nil {
		return fmt.Errorf("close the connection to the service: %w", err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string, target any) error {
	text, err := c.controlCall(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("get %s: %w", path, err)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return fmt.Errorf("decode %s: %w: %w", path, ErrMalformed, err)
	}
	return nil
}

// Order is an order to the engine to load a model or adapter, or to set its version or role.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is the loaded model, adapter, version and role that the engine reports.
type State struct {
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
}

type fenceBody struct {
	Fence uint64 `json:"fence"`
}

// SendOrder sends an order to the engine. If the engine refuses it, refused is true and
// current is the higher fence that the engine has.
func (c *Client) SendOrder(ctx context.Context, order Order) (current uint64, refused bool, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, false, fmt.Errorf("encode the order: %w", err)
	}
	text, err := c.controlCall(ctx, http.MethodPost, "/orders", body)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		var fence fenceBody
		if jsonErr := json.Unmarshal(text, &fence); jsonErr != nil {
			return 0, false, fmt.Errorf("decode the refusal of the order: %w", ErrMalformed)
		}
		return fence.Fence, true, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("send the order: %w", err)
	}
	return order.Fence, false, nil
}

// State fetches the engine's state.
func (c *Client) State(ctx context.Context) (State, error) {
	var state State
	err := c.get(ctx, "/orders", &state)
	return state, err
}
