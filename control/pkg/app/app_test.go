package app

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// TestJobFromUploadToResults runs a job from its upload to its results on one control
// VM with a restart in between. Acknowledged results must survive the restart.
func TestJobFromUploadToResults(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.createContract()
	accepted, err := c.upload("hearing-1", 1_200)
	require.NoError(t, err)
	require.EqualValues(t, 1_200, accepted.GetJob().GetItems())
	resent, err := c.upload("hearing-1", 1_200)
	require.NoError(t, err)
	require.True(t, resent.GetResend())
	_, err = c.upload("hearing-1", 1_199)
	require.Equal(t, connect.CodeAlreadyExists, connect.CodeOf(err))

	leased := c.lease(100)
	require.Len(t, leased, 100)
	for _, verdict := range c.complete(leased) {
		require.Equal(t, toucanhingev1.Verdict_VERDICT_ACCEPTED, verdict)
	}
	c.nodes[0].stop()
	c.nodes[0].start(t)
	for _, verdict := range c.complete(leased) {
		require.Equal(t, toucanhingev1.Verdict_VERDICT_DECIDED, verdict)
	}
	for leased = c.lease(100); len(leased) > 0; leased = c.lease(100) {
		c.complete(leased)
	}
	results := c.results(accepted.GetJob().GetId())
	require.Len(t, results, 1_200)
	for i, r := range results {
		require.EqualValues(t, i, r.GetIndex())
		require.Equal(t, fmt.Sprintf("item-%d", i), r.GetCustomId())
		require.Equal(t, fmt.Sprintf(`{"of":%d}`, i), string(r.GetBody()))
	}
}

// TestConfigurationReachesWatchers changes the configuration on three control VMs and
// waits until all watchers have applied it.
func TestConfigurationReachesWatchers(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.createContract()
	var watchers []*control.Watcher
	ctx, cancel := context.WithCancel(c.context())
	defer cancel()
	for i := range 6 {
		w := control.NewWatcher(control.WatcherConfig{Client: c.client, Process: fmt.Sprintf("w%d", i), Logger: log.NewNopLogger()})
		go w.Run(ctx)
		watchers = append(watchers, w)
	}
	last := c.apply("dc", &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: "agdal",
		Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: "rabat-sale"}},
	})
	for _, w := range watchers {
		require.Eventually(t, func() bool { return w.Fleet().Version >= last.GetVersion() }, testTimeout, pollInterval)
		_, found := w.Fleet().Entry(toucanhingev1.Kind_KIND_DATA_CENTRE, "agdal")
		require.True(t, found)
		require.NotEqual(t, fleetconfig.Empty(), w.Fleet())
	}
}
