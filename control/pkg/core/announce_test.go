package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// simulateAnnouncements lets VMs of a core announce themselves for 20 seconds. VMs for which
// stops returns true stop after 10 seconds. It returns the calls per second, and the number of
// VMs at the end that are neither members nor idle.
func simulateAnnouncements(vms, members int, stops func(vm int) bool) (rate float64, active int) {
	const duration, stopAt clock.Millis = 20_000, 10_000
	f := newFleet()
	var cores []string
	next := make([]clock.Millis, vms)
	for n := range vms {
		if n < members {
			cores = append(cores, fmt.Sprint(n))
		}
		next[n] = clock.Millis(n % 400)
	}
	f.setCoreAddresses(cores)
	calls := 0
	for now := clock.Millis(0); now < duration; now++ {
		for n := range vms {
			if next[n] != now || now >= stopAt && stops(n) {
				continue
			}
			calls++
			next[n] = now + clock.Millis(announceInterval.Milliseconds())
			if f.recordAnnouncement(now, fmt.Sprint(n), fmt.Sprint(n), "disk") {
				next[n] = now + idleInterval
			}
		}
	}
	return float64(calls) / float64(duration) * 1_000, f.reserveSize(duration, "")
}

// Guards against load on the leader from idle VMs. If each VM with a disk announces itself
// 2.5 times a second, 85 of them cause a fifth of all calls that the leader answers.
func TestIdleVMsAnnounceLessOften(t *testing.T) {
	none := func(int) bool { return false }
	for _, c := range []struct {
		vms     int
		maxRate float64
	}{{6, 15}, {12, 30}, {25, 55}, {85, 90}, {170, 130}} {
		rate, active := simulateAnnouncements(c.vms, 6, none)
		require.LessOrEqual(t, rate, c.maxRate, "%d VMs", c.vms)
		require.GreaterOrEqual(t, active, min(c.vms-6, maxReserve), "%d VMs", c.vms)
	}
}

// All reserve VMs disappear. Idle VMs have to replace them as the leader's reserve.
func TestIdleVMsReplaceLostReserve(t *testing.T) {
	_, active := simulateAnnouncements(85, 6, func(vm int) bool { return vm >= 6 && vm < 30 })
	require.GreaterOrEqual(t, active, maxReserve)
}
