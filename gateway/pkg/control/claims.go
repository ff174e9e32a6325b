// Package control implements the gateway's calls to the control VMs: claims of non-idempotent requests, and batch
// jobs.
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

// settleTimeout bounds one settle call. An unsettled claim is safe: it only prevents the request from being run
// again.
const settleTimeout clock.Millis = 30_000

// Claim is the permission to run one non-idempotent request once.
type Claim struct {
	Team  string
	ID    string
	Token string
}

type settlement struct {
	claim Claim
	state toucanhingev1.ClaimState
}

// ClaimsConfig configures Claims.
type ClaimsConfig struct {
	Gateway string
	Client  *control.Client
	Logger  log.Logger
	// Timeout is the maximum time that acquiring or releasing a claim may take.
	Timeout clock.Millis
}

// Claims acquires, settles and releases claims.
type Claims struct {
	config  ClaimsConfig
	pending *ring.Ring[settlement]
}

// maxPendingSettlements bounds the settlements waiting for control. The claims of dropped ones are left to expire.
const maxPendingSettlements = 1_024

// NewClaims returns Claims. Run must be running for settlements to be sent.
func NewClaims(config ClaimsConfig) *Claims {
	return &Claims{config: config, pending: ring.New[settlement](ring.Config{Size: maxPendingSettlements})}
}

// Claim requests a claim. After an error, the state of the claim is unknown, so the request must not be run; a claim
// that was granted nevertheless expires unused.
func (c *Claims) Claim(ctx context.Context, claim Claim, deadline clock.Millis) (toucanhingev1.ClaimState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout.Duration())
	defer cancel()
	request := &toucanhingev1.ClaimRequest{
		Team: claim.Team, RequestId: claim.ID, Gateway: c.config.Gateway, Token: claim.Token, DeadlineMs: int64(deadline),
	}
	response, err := control.Call(ctx, c.config.Client, 0, "claim",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ClaimResponse], error) {
			return r.Fleet.Claim(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED, fmt.Errorf("claim the request: %w", err)
	}
	return response.Msg.GetState(), nil
}

// Settle reports the outcome of a claimed request asynchronously, so that its caller doesn't wait.
func (c *Claims) Settle(claim Claim, state toucanhingev1.ClaimState) {
	if !c.pending.Offer(settlement{claim: claim, state: state}) {
		level.Warn(c.config.Logger).Log(logs.KeyEvent, "settlement-dropped", logs.KeyRequest, claim.ID)
	}
}

// Release releases a claim before it returns. A caller that gets the response "not run" may resend immediately, and
// that resend must not be refused because of the earlier claim.
func (c *Claims) Release(ctx context.Context, claim Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.Timeout.Duration())
	defer cancel()
	if err := c.settle(ctx, settlement{claim: claim}); err != nil {
		c.Settle(claim, toucanhingev1.ClaimState_CLAIM_STATE_UNSPECIFIED)
	}
}

// Run sends settlements until ctx ends, and then those still pending.
func (c *Claims) Run(ctx context.Context) {
	for {
		select {
		case s := <-c.pending.Items():
			c.settleOrLog(s)
		case <-ctx.Done():
			for _, s := range c.pending.Drain(maxPendingSettlements) {
				c.settleOrLog(s)
			}
			return
		}
	}
}

func (c *Claims) settleOrLog(s settlement) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout.Duration())
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
