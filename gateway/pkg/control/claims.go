// Package control speaks to the control VMs for the gateway: claims of
// non-idempotent requests, and batch jobs.
package control

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/ring"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// settleWait bounds one settling, a span. A claim that stays open only keeps its
// request from being run again, which is the safe side.
const settleWait clock.Millis = 30_000

// Claim is the right to run one non-idempotent request once.
type Claim struct {
	Team  string
	ID    string
	Token string
}

type settlement struct {
	claim Claim
	state toucanhingev1.ClaimState
}

// ClaimsConfig describes claims.
type ClaimsConfig struct {
	Gateway string
	Client  *control.Client
	Logger  log.Logger
	// Timeout is the longest wait for a claim, a span.
	Timeout clock.Millis
}

// Claims asks for claims and settles them.
type Claims struct {
	config ClaimsConfig
	open   *ring.Ring[settlement]
}

// settlements is how many may wait for control; more are left to run out there.
const settlements = 1_024

// NewClaims makes claims.
func NewClaims(config ClaimsConfig) *Claims {
	return &Claims{config: config, open: ring.New[settlement](ring.Config{Size: settlements})}
}

// Claim asks for the right to run. An error means that nothing is known of the
// claim, so the request must not be run; a claim that was granted meanwhile
// runs out unused.
func (c *Claims) Claim(ctx context.Context, claim Claim, deadline clock.Millis) (toucanhingev1.ClaimState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout.Duration())
	defer cancel()
	request := &toucanhingev1.ClaimRequest{
		Team: claim.Team, RequestId: claim.ID, Gateway: c.config.Gateway, Token: claim.Token, DeadlineMs: int64(deadline),
	}
	reply, err := control.Call(ctx, c.config.Client, 0, "claim",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ClaimResponse], error) {
			return r.Fleet.Claim(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED, fmt.Errorf("claim the request: %w", err)
	}
	return reply.Msg.GetState(), nil
}

// Settle tells how a claimed request ended, without holding up its caller.
func (c *Claims) Settle(claim Claim, state toucanhingev1.ClaimState) {
	if !c.open.Offer(settlement{claim: claim, state: state}) {
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "settlement-dropped", logs.KeyRequest, claim.ID)
	}
}

// Release gives a claim back at once: the caller that is told "not run" may resend
// immediately, and must not meet its own claim.
func (c *Claims) Release(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout.Duration())
	defer cancel()
	if err := c.settle(ctx, settlement{claim: claim}); err != nil {
		c.Settle(claim, toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED)
	}
}

// Run settles until the context ends, then what is still open.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case s := <-c.open.Items():
			c.try(s)
		case <-ctx.Done():
			for _, s := range c.open.Drain(settlements) {
				c.try(s)
			}
			return
		}
	}
}

func (c *Claims) try(s settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWait.Duration())
	defer cancel()
	if err := c.settle(ctx, s); err != nil {
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "settle-failed", logs.KeyRequest, s.claim.ID, logs.KeyError, err)
	}
}

func (c *Claims) settle(ctx context.Context, s settlement) error {
	request := &toucanhingev1.SettleRequest{
		Team: s.claim.Team, RequestId: s.claim.ID, Token: s.claim.Token, State: s.state,
	}
	_, err := control.Call(ctx, c.config.Client, 0, "settle",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.SettleResponse], error) {
			return r.Fleet.Settle(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return fmt.Errorf("settle the claim: %w", err)
	}
	return nil
}
