package digest

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/contention"
	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/occupancy"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// write sends one datagram. A failed send is dropped because the next datagram replaces it.
func (x *Exchange) write(data []byte, peer netip.AddrPort) {
	if _, err := x.socket.WriteToUDPAddrPort(data, peer); err != nil {
		level.Debug(x.config.Logger).Log(logs.KeyEvent, "digest-unsent", "peer", peer, logs.KeyError, err)
	}
}

func (x *Exchange) send(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer x.contention.timer.Stop()
	for {
		timer.Reset(x.interval().Duration())
		if !x.awaitDigest(ctx, timer.C) {
			return
		}
		x.publish()
	}
}

// awaitDigest waits until a digest has to be sent. It returns false if the context ends.
func (x *Exchange) awaitDigest(ctx context.Context, longest <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-longest:
			return true
		case <-x.dirty:
			select {
			case <-ctx.Done():
				return false
			case <-time.After(x.batchDelay()):
				return true
			}
		case <-x.contention.wake:
			x.schedulePoll(contention.WaitingInterval * x.contentionFactor())
		case <-x.contention.timer.C:
			if x.pollContention() {
				return true
			}
		}
	}
}

func (x *Exchange) batchDelay() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return batchDelay * time.Duration(x.delayFactor())
}

// delayFactor returns the factor by which delays and intervals grow in a large fleet. The caller
// holds the lock.
func (x *Exchange) delayFactor() int { return max(len(x.peers)/batchDelayPeers, 1) }

// interval returns the maximum time until the next digest.
func (x *Exchange) interval() clock.Millis {
	x.mu.Lock()
	defer x.mu.Unlock()
	longest := occupancy.DigestInterval
	if promised := x.promisedInterval(); promised > 0 {
		longest = promised
	}
	if x.sendsHeartbeats() {
		longest = min(longest, coreInterval)
	}
	return longest
}

// sendsHeartbeats reports whether this daemon sends digests even when it is idle. Gateways use
// the digests of the core's leader to detect that they are partitioned. The caller holds the lock.
func (x *Exchange) sendsHeartbeats() bool {
	return x.config.Core && x.config.Quota != nil && len(x.peers) > 0
}

// promisedInterval is the maximum interval between digests that this daemon announces to others,
// 0 for none. The caller holds the lock.
func (x *Exchange) promisedInterval() clock.Millis {
	if !x.table.RunsItems() {
		return 0
	}
	return occupancy.BatchDigestInterval * clock.Millis(x.delayFactor())
}

// publish sends this daemon's load digest to all its peers. A digest that can't be sent is
// dropped because the next one replaces it.
func (x *Exchange) publish() {
	x.mu.Lock()
	peers, heartbeats := x.peers, x.sendsHeartbeats()
	loads := x.table.Loads(x.config.Clock.Now())
	promised := x.promisedInterval()
	x.mu.Unlock()
	report := x.popContention()
	unsent := x.config.Quota.MarkAlive(x.bootNow())
	// The empty state is sent twice, in case one datagram is lost, and then no more.
	if len(loads) > 0 || unsent || heartbeats {
		x.emptySent = 0
	} else {
		x.emptySent++
	}
	if len(peers) == 0 || x.emptySent > emptyDigestRepeats && report == nil {
		return
	}
	x.sequence++
	data, err := proto.Marshal(&toucanhingev1.LoadDigest{
		Source: x.config.Source, Epoch: x.epoch, Sequence: x.sequence, Version: x.config.Version(), Loads: loads,
		NextMs: uint32(promised), Uses: x.config.Quota.Publish(false), CountingMs: x.countingMs(),
		Contention: report,
	})
	if err != nil {
		level.Error(x.config.Logger).Log(logs.KeyEvent, "digest-unencodable", logs.KeyError, err)
		return
	}
	for _, peer := range peers {
		x.write(data, peer)
	}
}

func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := x.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			level.Debug(x.config.Logger).Log(logs.KeyEvent, "digest-unread", logs.KeyError, err)
			continue
		}
		d := &toucanhingev1.LoadDigest{}
		if err := proto.Unmarshal(buffer[:n], d); err != nil {
			level.Warn(x.config.Logger).Log(logs.KeyEvent, "digest-unreadable", logs.KeyError, err)
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if message := d.GetCrashes(); message != nil {
			x.receiveCrashes(d.GetSource(), sender, message)
			continue
		}
		if message := d.GetStreams(); message != nil {
			x.receiveOrigins(sender, message)
			continue
		}
		for _, peer := range x.apply(sender.String(), d) {
			x.write(buffer[:n], peer)
		}
		if x.config.OnDigest != nil {
			x.config.OnDigest(d.GetVersion())
		}
	}
}
