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
	Name        string   `toml:"name" doc:"unique name of this endpoint; a restart keeps it"`
	Listen      string   `toml:"listen" doc:"IP:port for gateways"`
	AdminListen string   `toml:"admin_listen" doc:"IP:port for health, metrics and the explain call"`
	VM          string   `toml:"vm" doc:"name of the VM this runs on"`
	DataCentre  string   `toml:"data_centre" doc:"name of the data centre of that VM"`
	Service     string   `toml:"service" doc:"service that the engine or plain service belongs to"`
	Kind        string   `toml:"kind" doc:"model or plain"`
	Control     []string `toml:"control" doc:"IP:port of every control VM"`
	LogLevel    string   `toml:"log_level" doc:"debug, info, warn or error"`
	Records     int      `toml:"records" doc:"happenings kept for the explain call"`

	Engine Engine `toml:"engine"`
	Online Online `toml:"online"`
	Batch  Batch  `toml:"batch"`
	Drain  Drain  `toml:"drain"`
}

// Engine configures the engine or plain service behind this sidecar.
type Engine struct {
	URL         string `toml:"url" doc:"where it listens, http://IP:port"`
	Slots       int    `toml:"slots" doc:"requests that it runs at once"`
	MinSlots    int    `toml:"floor" doc:"slots that are ours however much load of others the engine reports"`
	PollMS      int64  `toml:"poll_ms" doc:"how often its load report is read; for a plain service, how often its port is tried"`
	FailedPolls int    `toml:"failed_polls" doc:"polls without an answer in a row after which it counts as unhealthy"`
	RecheckMS   int64  `toml:"recheck_ms" doc:"how often a resting engine is asked which order it holds"`
	Orders      bool   `toml:"orders" doc:"false for an engine that takes no orders"`
}

// Online configures how requests of callers are admitted.
type Online struct {
	QueueLimit     int   `toml:"queue" doc:"most online requests that wait for a slot"`
	RingSize       int   `toml:"ring" doc:"most events that wait for the admission machine"`
	RetentionMS         int64 `toml:"keep_ms" doc:"how long an answer waits for a gateway whose connection broke"`
	MaxAnswerBytes      int   `toml:"keep_bytes" doc:"bytes of one answer kept for that, and the most a slow reader may fall behind"`
	MaxRetainedBytes int   `toml:"keep_total_bytes" doc:"bytes kept of all ended answers"`
	MaxDedupRequests   int   `toml:"once_requests" doc:"most non-idempotent requests remembered as started; above it new ones are refused"`
	DedupRetentionMS     int64 `toml:"once_keep_ms" doc:"how long each of them is remembered"`
}

// Batch configures how batch work shares the engine.
type Batch struct {
	Policy          string `toml:"policy" doc:"yield, or a baseline: naive gives the engine everything, fixed splits the slots"`
	Slots           int    `toml:"slots" doc:"most slots that batch may hold; under fixed, the slots it owns; 0 takes none"`
	LocalItems      int    `toml:"local" doc:"leased items kept waiting beside those in slots, so that a free slot is filled without a round trip"`
	MaxPerLease     int    `toml:"ask" doc:"most items leased in one call"`
	PrefillTokens   int    `toml:"prefill_tokens" doc:"most batch prompt tokens in prefill at once; a single longer item still runs"`
	Weight          int    `toml:"weight" doc:"trade-off until the service's configuration is known: 0 favours online latency, 100 batch throughput"`
	BurstWindowMS   int64  `toml:"burst_window_ms" doc:"span in which arrivals count as one burst"`
	BurstHalfLifeMS int64  `toml:"burst_half_life_ms" doc:"time after which a past burst counts half for the headroom"`
	FlushMS         int64  `toml:"flush_ms" doc:"longest wait of an outcome for others to be reported with"`
	FlushItems      int    `toml:"flush_items" doc:"outcomes reported at once"`
	ResultBytes     int    `toml:"result_bytes" doc:"largest result of one item; a larger one fails the item"`
}

// Drain configures the planned shutdown.
type Drain struct {
	LingerMS int64 `toml:"linger_ms" doc:"time for which refusals are still answered after the last request ended, so that gateways learn of the leaving"`
	FinishMS int64 `toml:"finish_ms" doc:"longest wait for the requests under way"`
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
