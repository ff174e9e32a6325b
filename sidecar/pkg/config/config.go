// Package config defines the sidecar's settings, their defaults and their validation.
package config

import (
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/settings"
)

// Kinds of endpoints.
const (
	KindModel = "model"
	KindPlain = "plain"
)

// Settings is the content of the TOML file. All times are in milliseconds, all sizes in
// bytes.
type Settings struct {
	Name        string   `toml:"name" doc:"unique name of this endpoint; stays the same across restarts"`
	Listen      string   `toml:"listen" doc:"IP:port for gateways"`
	AdminListen string   `toml:"admin_listen" doc:"IP:port for health, metrics and the explain call"`
	VM          string   `toml:"vm" doc:"name of the VM that this sidecar runs on"`
	DataCentre  string   `toml:"data_centre" doc:"name of the data centre of that VM"`
	Service     string   `toml:"service" doc:"service that the engine or plain service belongs to"`
	Kind        string   `toml:"kind" doc:"kind of endpoint: model or plain"`
	Control     []string `toml:"control" doc:"IP:port of every control VM"`
	LogLevel    string   `toml:"log_level" doc:"debug, info, warn or error"`
	Records     int      `toml:"records" doc:"number of events retained for the explain call"`

	Engine Engine `toml:"engine"`
	Online Online `toml:"online"`
	Batch  Batch  `toml:"batch"`
	Drain  Drain  `toml:"drain"`
}

// Engine configures the engine or plain service behind this sidecar.
type Engine struct {
	URL         string `toml:"url" doc:"URL of the engine or plain service, http://IP:port"`
	Slots       int    `toml:"slots" doc:"number of requests that the engine or plain service runs concurrently"`
	MinSlots    int    `toml:"floor" doc:"minimum number of slots available, whatever load from other clients the engine reports"`
	PollMS      int64  `toml:"poll_ms" doc:"interval of load report polls; for a plain service, of connection checks"`
	FailedPolls int    `toml:"failed_polls" doc:"consecutive failed polls after which the engine or plain service counts as unhealthy"`
	RecheckMS   int64  `toml:"recheck_ms" doc:"interval of reads of the order that an idle engine holds"`
	Software    string `toml:"software" doc:"version of the engine's software; an answer that breaks off is continued only by an engine with the same one, so engines of different software in one service must name theirs"`
	Orders      bool   `toml:"orders" doc:"false for an engine that does not accept orders"`
}

// Online configures how requests of callers are admitted.
type Online struct {
	QueueLimit       int   `toml:"queue" doc:"maximum online requests that wait for a slot"`
	RingSize         int   `toml:"ring" doc:"maximum events that wait for the admission machine"`
	RetentionMS      int64 `toml:"keep_ms" doc:"how long an answer is retained for a gateway whose connection broke"`
	MaxAnswerBytes   int   `toml:"keep_bytes" doc:"maximum bytes of one answer retained after its connection broke, and maximum bytes that a slow reader may fall behind"`
	MaxRetainedBytes int   `toml:"keep_total_bytes" doc:"maximum bytes retained of all ended answers together"`
	MaxDedupRequests int   `toml:"once_requests" doc:"maximum non-idempotent requests recorded as started; new ones are refused above it"`
	DedupRetentionMS int64 `toml:"once_keep_ms" doc:"how long a non-idempotent request remains recorded as started"`
}

// Batch configures how batch work shares the engine.
type Batch struct {
	Policy          string `toml:"policy" doc:"yield, or a baseline: naive sends everything to the engine immediately, fixed splits the slots"`
	Slots           int    `toml:"slots" doc:"maximum slots that batch work may hold; under the fixed policy, the slots reserved for it; 0 means none"`
	LocalItems      int    `toml:"local" doc:"number of leased items that wait in the sidecar, in addition to those in slots, so that a free slot is filled without a round trip"`
	MaxPerLease     int    `toml:"ask" doc:"maximum items requested per lease call"`
	PrefillTokens   int    `toml:"prefill_tokens" doc:"maximum batch prompt tokens in prefill at once; a single longer item still runs"`
	Weight          int    `toml:"weight" doc:"trade-off used until the service's configuration is known: 0 favours online latency, 100 batch throughput"`
	BurstWindowMS   int64  `toml:"burst_window_ms" doc:"interval in which arrivals count as one burst"`
	BurstHalfLifeMS int64  `toml:"burst_half_life_ms" doc:"time after which a past burst counts half in the calculation of the headroom"`
	FlushMS         int64  `toml:"flush_ms" doc:"maximum time that an outcome waits to be reported together with others"`
	FlushItems      int    `toml:"flush_items" doc:"number of outcomes reported at once"`
	ResultBytes     int    `toml:"result_bytes" doc:"maximum size of the result of one item; a larger one fails the item"`
}

// Drain configures the planned shutdown.
type Drain struct {
	LingerMS int64 `toml:"linger_ms" doc:"how long refusals are still returned after the last request ended, so that gateways see the drain"`
	FinishMS int64 `toml:"finish_ms" doc:"maximum wait for the requests in progress"`
}

// Defaults returns the settings that apply where the file sets none.
func Defaults() Settings {
	return Settings{
		Listen:      "127.0.0.1:8090",
		AdminListen: "127.0.0.1:8091",
		Kind:        KindModel,
		LogLevel:    "info",
		Records:     10_000,
		Engine:      Engine{Slots: 16, MinSlots: 1, PollMS: 50, FailedPolls: 4, RecheckMS: 5_000, Orders: true},
		Online: Online{
			QueueLimit: 256, RingSize: 4_096, RetentionMS: 3_000, MaxAnswerBytes: 256 << 10, MaxRetainedBytes: 8 << 20,
			MaxDedupRequests: 100_000, DedupRetentionMS: toMillis(10 * time.Minute),
		},
		Batch: Batch{
			Policy: "yield", Slots: 16, LocalItems: 8, MaxPerLease: 16, PrefillTokens: 512, Weight: 50,
			BurstWindowMS: 50, BurstHalfLifeMS: 2_000, FlushMS: 20, FlushItems: 64, ResultBytes: 1 << 20,
		},
		Drain: Drain{LingerMS: 500, FinishMS: toMillis(10 * time.Minute)},
	}
}

func toMillis(d time.Duration) int64 {
	return int64(clock.FromDuration(d))
}

// Load reads and validates a settings file. The error lists every invalid setting.
func Load(file string) (Settings, error) {
	target := Defaults()
	err := settings.Load(file, &target, validate)
	return target, err
}
