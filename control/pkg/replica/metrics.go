package replica

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Reasons for dropping messages between replicas or for refusing commands.
const (
	reasonNotLeader  = "not_leader"
	reasonOverloaded = "overloaded"
	reasonUnknown    = "unknown"
	reasonStopped    = "stopped"

	dropSenderFull = "sender_full"
	dropInboxFull  = "inbox_full"
	dropNoAddress  = "no_address"
	dropCallFailed = "call_failed"
	dropConflict   = "identity_conflict"
)

type groupMetrics struct {
	refused     *prometheus.CounterVec
	dropped     *prometheus.CounterVec
	leaderships prometheus.Counter
	syncs       prometheus.Histogram
	synced      prometheus.Counter
	applied     prometheus.Counter
	checkpoints prometheus.Counter
	snapshots   *prometheus.CounterVec
	sent        prometheus.Counter
	calls       prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, group uint32) *groupMetrics {
	labels := prometheus.Labels{"group": strconv.FormatUint(uint64(group), 10)}
	factory := promauto.With(prometheus.WrapRegistererWith(labels, registerer))
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "toucanhinge_replica_" + name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: "toucanhinge_replica_" + name, Help: help}, []string{label})
	}
	return &groupMetrics{
		refused:     vector("refused_total", "Proposals, reads and changes refused, by reason.", "reason"),
		dropped:     vector("messages_dropped_total", "Messages between replicas dropped, by reason.", "reason"),
		leaderships: counter("leaderships_total", "Times this replica became the leader."),
		syncs: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "toucanhinge_replica_sync_seconds", Help: "Time to write and sync the log.",
			Buckets: []float64{.001, .003, .01, .03, .1, .3, 1, 3},
		}),
		synced:      counter("synced_entries_total", "Entries made durable."),
		applied:     counter("applied_entries_total", "Entries applied."),
		checkpoints: counter("checkpoints_total", "Checkpoints taken."),
		snapshots:   vector("snapshots_total", "Snapshots sent and installed, by outcome.", "outcome"),
		sent:        counter("messages_sent_total", "Messages sent to other replicas."),
		calls:       counter("calls_total", "Calls to other replicas that carried messages."),
	}
}
