package batchrun

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/sse"
)

func event(id uint64) sse.Event { return sse.Event{Numbered: true, ID: id, Data: []byte("x")} }

// Guards against a text whose second part another software version wrote, whichever way its events arrive.
func TestProgressHoldsOneSoftwareVersion(t *testing.T) {
	p := &progress{}
	require.Zero(t, p.prepare("v1"))
	require.NoError(t, p.add(event(1), "v1"))
	require.ErrorIs(t, p.add(event(2), "v2"), errOtherVersion)
	require.NoError(t, p.add(event(2), "v1"))
	require.Zero(t, p.prepare("v1"))
	require.Equal(t, uint64(2), p.prepare("v2"))
	require.Zero(t, p.lastEvent())
	require.Empty(t, p.writtenBy())
	require.NoError(t, p.add(event(1), "v2"))
	require.Equal(t, "v2", p.writtenBy())
}

// Guards against a result that continues a discarded text: the log still holds that one, and a part of it may be logged
// while the item restarts.
func TestDiscardedTextIsNotContinuedInTheLog(t *testing.T) {
	p := &progress{}
	for id := range uint64(4) {
		require.NoError(t, p.add(event(id+1), "v1"))
	}
	part := p.unlogged()
	require.Zero(t, part.after)
	require.Equal(t, uint64(4), p.prepare("v2"))
	p.markLogged(part)
	require.False(t, p.logsParts())
	require.NoError(t, p.add(event(1), "v2"))
	part = p.unlogged()
	require.Zero(t, part.after, "the whole text replaces the logged one")
	require.Equal(t, uint64(1), part.last)
	require.Equal(t, "x", string(part.text))
}

// Guards against a logged text with the name of another software version: the next leader would continue it there.
func TestLoggedPartNamesVersionThatWroteIt(t *testing.T) {
	const rounds = 20_000
	versions := []string{"v1", "v2"}
	p := &progress{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range rounds {
			version := versions[n%2]
			p.prepare(version)
			_ = p.add(sse.Event{Numbered: true, ID: 1, Data: []byte(version)}, version)
		}
	}()
	for {
		select {
		case <-done:
			return
		default:
		}
		if part := p.unlogged(); len(part.text) > 0 {
			require.Equal(t, part.version, string(part.text))
		}
	}
}
