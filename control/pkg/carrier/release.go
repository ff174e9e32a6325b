package carrier

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// releaseGather is how long releases wait for others. When a burst of online requests
// begins, hundreds of items give way within some tens of milliseconds, and one message
// to each gateway costs as much as one for a single call.
const releaseGather = time.Millisecond

// releases gathers the calls that gateways are to end.
type releases struct {
	send func(address string, calls []uint64)

	mu      sync.Mutex
	pending map[string][]uint64
}

func (r *releases) add(address string, call uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) == 0 {
		time.AfterFunc(releaseGather, r.flush)
	}
	r.pending[address] = append(r.pending[address], call)
}

func (r *releases) flush() {
	r.mu.Lock()
	taken := r.pending
	r.pending = map[string][]uint64{}
	r.mu.Unlock()
	for address, calls := range taken {
		go r.send(address, calls)
	}
}

// release tells one gateway. If it can't be told, whoever wants the calls' end breaks them
// off a moment later.
func (c *Carrier) release(address string, calls []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), takeTime)
	defer cancel()
	request := connect.NewRequest(&toucanhingev1.ReleaseRequest{Source: c.config.Source, Calls: calls})
	if _, err := c.client(address).Release(ctx, request); err != nil {
		level.Info(c.config.Logger).Log(logs.KeyEvent, "calls-unreleased", "gateway", address, "calls", len(calls), logs.KeyError, err)
	}
}
