package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

// announcers plays VMs of a core that announce themselves for a while, some of which are gone
// from a moment on, and returns the calls a second and how many VMs that are no members were
// awake at the end.
func announcers(vms, members int, gone func(vm int) bool) (rate float64, awake int) {
	const span, goneAt clock.Millis = 20_000, 10_000
	f := newFleet()
	var cores []string
	next := make([]clock.Millis, vms)
	for n := range vms {
		if n < members {
			cores = append(cores, fmt.Sprint(n))
		}
		next[n] = clock.Millis(n % 400)
	}
	f.setCores(cores)
	calls := 0
	for now := clock.Millis(0); now < span; now++ {
		for n := range vms {
			if next[n] != now || now >= goneAt && gone(n) {
				continue
			}
			calls++
			next[n] = now + clock.Millis(announceEvery.Milliseconds())
			if f.announce(now, fmt.Sprint(n), fmt.Sprint(n), "disk") {
				next[n] = now + restTime
			}
		}
	}
	return float64(calls) / float64(span) * 1_000, f.reserve(span, "")
}

// Each VM with a disk announced itself to the leader 2.5 times a second, also those that do
// nothing: with 85 of them a fifth of all calls that it answered.
func TestVMsThatDoNothingRest(t *testing.T) {
	none := func(int) bool { return false }
	for _, c := range []struct {
		vms  int
		most float64
	}{{6, 15}, {12, 30}, {25, 55}, {85, 90}, {170, 130}} {
		rate, awake := announcers(c.vms, 6, none)
		require.LessOrEqual(t, rate, c.most, "%d VMs", c.vms)
		require.GreaterOrEqual(t, awake, min(c.vms-6, mostReserve), "%d VMs", c.vms)
	}
}

// All VMs that stood by are gone. Others take their place, and the leader knows of them.
func TestOthersStandByInTheirPlace(t *testing.T) {
	_, awake := announcers(85, 6, func(vm int) bool { return vm >= 6 && vm < 30 })
	require.GreaterOrEqual(t, awake, mostReserve)
}
