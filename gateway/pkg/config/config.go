// Package config holds the gateway's settings, their defaults and their checks.
package config

import (
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/settings"
)

// Settings is the whole TOML file. All times are milliseconds, all sizes bytes.
type Settings struct {
	Name        string   `toml:"name" doc:"unique name of this gateway; a restart keeps it"`
	Listen      string   `toml:"listen" doc:"IP:port for callers"`
	AdminListen string   `toml:"admin_listen" doc:"IP:port for health, metrics and the explain call"`
	VM          string   `toml:"vm" doc:"name of the VM this runs on"`
	DataCentre  string   `toml:"data_centre" doc:"name of the data centre of that VM"`
	Control     []string `toml:"control" doc:"IP:port of every control VM"`
	LogLevel    string   `toml:"log_level" doc:"debug, info, warn or error"`
	DecisionLogSize     int      `toml:"records" doc:"happenings kept for the explain call"`

	Limits Limits `toml:"limits"`
	Retry  Retry  `toml:"retry"`
	Route  Route  `toml:"route"`
	Drain  Drain  `toml:"drain"`
}

// Limits bounds what one caller can make this process hold.
type Limits struct {
	MaxBodyBytes         int   `toml:"body_bytes" doc:"largest body of one request"`
	MaxBatchLineBytes    int   `toml:"batch_line_bytes" doc:"largest line of a batch upload"`
	MaxBatchItems   int   `toml:"batch_items" doc:"most items of one batch upload"`
	ResponseBufferBytes       int   `toml:"answer_bytes" doc:"bytes of a whole answer held back until its end, so that a failure can still be retried; a longer one is passed through"`
	ResumeTextBytes         int   `toml:"text_bytes" doc:"text of one streamed answer kept to resume it on another endpoint"`
	SenderTimeout       int64 `toml:"sender_ms" doc:"time that a caller gets to send the body, and to make progress in a batch upload"`
	ReaderTimeout       int64 `toml:"reader_ms" doc:"time that a caller gets to take one piece of an answer"`
	DefaultDeadline     int64 `toml:"deadline_ms" doc:"deadline of a request when neither caller nor service names one"`
	MaxDeadline int64 `toml:"deadline_most_ms" doc:"longest deadline that a caller may ask for"`
	MaxInFlight     int   `toml:"in_flight" doc:"online requests of all teams under way in this gateway"`
	MaxTransfers      int   `toml:"uploads" doc:"batch uploads and result reads under way in this gateway"`
}

// Retry bounds what the gateway adds to the fleet's load by itself.
type Retry struct {
	MaxAttempts int     `toml:"attempts" doc:"most attempts of one request, the first included"`
	Ratio    float64 `toml:"ratio" doc:"retries earned by each request; 0.1 allows one retry after a failure for ten requests, or one after a refusal for twenty"`
	Burst    int     `toml:"burst" doc:"most retries saved up; what one endpoint's death may cost at once"`
	RefusedBurst  int     `toml:"refused_burst" doc:"part of the burst that retries after refusals may use; the rest is for failures"`
	StallTimeout    int64   `toml:"stall_ms" doc:"silence between two pieces of a streamed answer that counts as a failure of the endpoint"`
	ClaimTimeout    int64   `toml:"claim_ms" doc:"longest wait for the claim of a non-idempotent request"`
}

// Route says how endpoints are chosen and watched.
type Route struct {
	Policy      string  `toml:"policy" doc:"ours, or a baseline: random, least, two, affinity"`
	SubsetSize      int     `toml:"subset" doc:"most endpoints of one service that this gateway uses"`
	MaxReportsPerSecond     int     `toml:"reports" doc:"most loads asked for in a second, over all services"`
	ReportInterval      int64   `toml:"report_ms" doc:"age at which an endpoint's load is asked for"`
	PrefixBytes      int     `toml:"prefix_bytes" doc:"bytes of the prompt that choose its preferred endpoint; 0 turns affinity off"`
	LoadBound       float64 `toml:"bound" doc:"load above the mean, as a factor, up to which the preferred endpoint is kept"`
	ConsecutiveFailures    int     `toml:"failures" doc:"failures in a row that eject an endpoint"`
	BaseEjectionTime       int64   `toml:"eject_ms" doc:"first ejection; doubles with each further one"`
	MaxEjectionTime   int64   `toml:"eject_most_ms" doc:"longest ejection"`
	OutlierFactor     float64 `toml:"outlier" doc:"time to the first token above the peers' median, as a factor, that ejects; 0 turns it off"`
	SlowStartWindow   int64   `toml:"slow_start_ms" doc:"time over which a returning endpoint gets its full share"`
	PollTimeout int64   `toml:"poll_timeout_ms" doc:"wait for an endpoint's load before it counts as a failure"`
}

// Drain says how a planned stop goes.
type Drain struct {
	BalancerWait int64 `toml:"balancer_ms" doc:"time for which requests are still taken after readiness fails, so that the balancer turns away"`
	FinishTimeout   int64 `toml:"finish_ms" doc:"longest wait for the requests under way"`
}

// Policies that Route.Policy may name.
const (
	PolicyDefault     = "ours"
	PolicyRandom   = "random"
	PolicyLeastLoaded    = "least"
	PolicyTwoChoices      = "two"
	PolicyAffinity = "affinity"
)

// Defaults returns the settings before the file is read.
func Defaults() Settings {
	return Settings{
		Listen:      "127.0.0.1:8080",
		AdminListen: "127.0.0.1:8081",
		LogLevel:    "info",
		DecisionLogSize:     20_000,
		Limits: Limits{
			MaxBodyBytes: 4 << 20, MaxBatchLineBytes: 1 << 20, MaxBatchItems: 1_000_000, ResponseBufferBytes: 8 << 20, ResumeTextBytes: 256 << 10,
			SenderTimeout: ms(10 * time.Second), ReaderTimeout: ms(30 * time.Second),
			DefaultDeadline: ms(time.Minute), MaxDeadline: ms(30 * time.Minute),
			MaxInFlight: 4_000, MaxTransfers: 64,
		},
		Retry: Retry{
			MaxAttempts: 4, Ratio: 0.1, Burst: 256, RefusedBurst: 32,
			StallTimeout: ms(10 * time.Second), ClaimTimeout: ms(3 * time.Second),
		},
		Route: Route{
			Policy: PolicyDefault, SubsetSize: 20, ReportInterval: 500, MaxReportsPerSecond: 50, PrefixBytes: 256, LoadBound: 1.25,
			ConsecutiveFailures: 3, BaseEjectionTime: 1_000, MaxEjectionTime: ms(time.Minute), OutlierFactor: 4, SlowStartWindow: ms(10 * time.Second),
			PollTimeout: 800,
		},
		Drain: Drain{BalancerWait: ms(5 * time.Second), FinishTimeout: ms(10 * time.Minute)},
	}
}

func ms(d time.Duration) int64 {
	return int64(clock.FromDuration(d))
}

// Load reads and checks a settings file; the error names every fault.
func Load(file string) (Settings, error) {
	target := Defaults()
	err := settings.Load(file, &target, validate)
	return target, err
}
