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

// ErrMalformed is an answer that can't be understood.
var ErrMalformed = errors.New("the engine's answer makes no sense")

// Load is the engine's report of itself; it lags behind the truth.
type Load struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	Slots         int   `json:"slots"`
	PrefillTokens int   `json:"prefill_tokens"`
	AsOfMs        int64 `json:"as_of_ms"`
}

// Load asks for the report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	if err := c.get(ctx, "/load", &load); err != nil {
		return Load{}, err
	}
	if load.Running < 0 || load.Waiting < 0 {
		return Load{}, fmt.Errorf("load report: %w", ErrMalformed)
	}
	return load, nil
}

// CheckReachable tries whether the port takes connections. Plain services have no call
// that we could make without running something.
func (c *Client) CheckReachable(ctx context.Context) error {
	dialer := &net.Dialer{}
	connection, err := dialer.DialContext(ctx, "tcp", strings.TrimPrefix(c.url, "http://"))
	if err != nil {
		return fmt.Errorf("reach the service: %w", err)
	}
	if err := connection.Close(); err != nil {
		return fmt.Errorf("leave the service: %w", err)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string, target any) error {
	text, err := c.control(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("ask %s: %w", path, err)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return fmt.Errorf("read %s: %w: %w", path, ErrMalformed, err)
	}
	return nil
}

// Order tells the engine what to be.
type Order struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// State is what the engine says it is.
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

// SendOrder gives the engine an order. An engine that refuses it names the higher
// number that it holds; refused is then true.
func (c *Client) SendOrder(ctx context.Context, order Order) (held uint64, refused bool, err error) {
	body, err := json.Marshal(order)
	if err != nil {
		return 0, false, fmt.Errorf("write the order: %w", err)
	}
	text, err := c.control(ctx, http.MethodPost, "/orders", body)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		var fence fenceBody
		if jsonErr := json.Unmarshal(text, &fence); jsonErr != nil {
			return 0, false, fmt.Errorf("read the refusal: %w", ErrMalformed)
		}
		return fence.Fence, true, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("send the order: %w", err)
	}
	return order.Fence, false, nil
}

// State reads back what the engine is.
func (c *Client) State(ctx context.Context) (State, error) {
	var held State
	err := c.get(ctx, "/orders", &held)
	return held, err
}
