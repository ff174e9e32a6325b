// Package config defines the settings of the gateway, their defaults and their validation.
package config

import (
	"time"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/settings"
)

// Settings is the content of the TOML settings file. All times are in milliseconds, all sizes in bytes.
type Settings struct {
	Name            string   `toml:"name" doc:"unique name of this gateway; stays the same across restarts"`
	Listen          string   `toml:"listen" doc:"IP:port for callers"`
	AdminListen     string   `toml:"admin_listen" doc:"IP:port for health, metrics and the explain call"`
	VM              string   `toml:"vm" doc:"name of the VM that this gateway runs on"`
	DataCentre      string   `toml:"data_centre" doc:"name of the data centre of that VM"`
	Control         []string `toml:"control" doc:"IP:port of every control VM"`
	LogLevel        string   `toml:"log_level" doc:"debug, info, warn or error"`
	DecisionLogSize int      `toml:"records" doc:"number of events retained for the explain call"`

	Limits Limits `toml:"limits"`
	Retry  Retry  `toml:"retry"`
	Route  Route  `toml:"route"`
	Drain  Drain  `toml:"drain"`
}

// Limits bounds the resources that callers can occupy in the gateway.
type Limits struct {
	MaxBodyBytes        int   `toml:"body_bytes" doc:"maximum size of the body of one request"`
	MemoryBytes         int64 `toml:"memory_bytes" doc:"maximum memory of the bodies of all requests together, including copies; a request that finds none is refused, or ends one whose body arrives slowly"`
	MaxBatchLineBytes   int   `toml:"batch_line_bytes" doc:"maximum size of one line of a batch upload"`
	MaxBatchItems       int   `toml:"batch_items" doc:"maximum items in one batch upload"`
	ResponseBufferBytes int   `toml:"answer_bytes" doc:"maximum size of a non-streamed answer that is buffered until its end, so that a failure can still be retried; a longer answer is passed through"`
	ResumeTextBytes     int   `toml:"text_bytes" doc:"maximum text of one streamed answer retained to resume it on another endpoint"`
	SenderTimeout       int64 `toml:"sender_ms" doc:"timeout for a caller to send the request body, and to make progress in a batch upload"`
	ReaderTimeout       int64 `toml:"reader_ms" doc:"timeout for a caller to read one chunk of an answer"`
	DefaultDeadline     int64 `toml:"deadline_ms" doc:"deadline of a request when neither the caller nor the service sets one"`
	MaxDeadline         int64 `toml:"deadline_most_ms" doc:"maximum deadline that a caller may request"`
	MaxInFlight         int   `toml:"in_flight" doc:"maximum online requests in progress in this gateway, over all teams"`
	MaxTransfers        int   `toml:"uploads" doc:"maximum batch uploads and result reads in progress in this gateway"`
}

// Retry bounds the load that the gateway adds to the fleet by retries.
type Retry struct {
	MaxAttempts  int     `toml:"attempts" doc:"maximum attempts per request, including the first"`
	Ratio        float64 `toml:"ratio" doc:"retries that each request adds to the retry budget; 0.1 allows one retry after a failure per ten requests, or one after a refusal per twenty"`
	Burst        int     `toml:"burst" doc:"maximum retries accumulated in the budget; limits the retries that the failure of one endpoint can cause at once"`
	RefusedBurst int     `toml:"refused_burst" doc:"part of burst that retries after refusals may use; the rest is reserved for retries after failures"`
	StallTimeout int64   `toml:"stall_ms" doc:"time without data between two chunks of a streamed answer after which the endpoint counts as failed"`
	ClaimTimeout int64   `toml:"claim_ms" doc:"timeout for the claim of a non-idempotent request"`
}

// Route configures how endpoints are selected, polled and ejected.
type Route struct {
	Policy              string  `toml:"policy" doc:"ours (the default policy), or a baseline: random, least (least loaded), two (two choices), affinity"`
	SubsetSize          int     `toml:"subset" doc:"maximum endpoints of one service that this gateway uses"`
	MaxReportsPerSecond int     `toml:"reports" doc:"maximum load reports requested per second, over all services"`
	ReportInterval      int64   `toml:"report_ms" doc:"age of an endpoint's load report after which a new one is requested"`
	PrefixBytes         int     `toml:"prefix_bytes" doc:"length of the prompt prefix that determines the preferred endpoint; 0 disables affinity"`
	LoadBound           float64 `toml:"bound" doc:"maximum load of the preferred endpoint, as a multiple of the mean load, up to which it is still selected"`
	ConsecutiveFailures int     `toml:"failures" doc:"consecutive failures after which an endpoint is ejected"`
	BaseEjectionTime    int64   `toml:"eject_ms" doc:"duration of the first ejection; doubles with each further one"`
	MaxEjectionTime     int64   `toml:"eject_most_ms" doc:"maximum duration of an ejection"`
	OutlierFactor       float64 `toml:"outlier" doc:"time to first token, as a multiple of the peers' median, above which an endpoint is ejected; 0 disables this check"`
	SlowStartWindow     int64   `toml:"slow_start_ms" doc:"time over which the share of a returning endpoint rises to its full value"`
	PollTimeout         int64   `toml:"poll_timeout_ms" doc:"timeout of a load report request; a timeout counts as a failure"`
}

// Drain configures a planned stop.
type Drain struct {
	BalancerWait  int64 `toml:"balancer_ms" doc:"how long requests are still accepted after readiness fails, so that the load balancer has time to stop sending them"`
	FinishTimeout int64 `toml:"finish_ms" doc:"maximum wait for the requests in progress"`
}

// Values of Route.Policy.
const (
	PolicyDefault     = "ours"
	PolicyRandom      = "random"
	PolicyLeastLoaded = "least"
	PolicyTwoChoices  = "two"
	PolicyAffinity    = "affinity"
)

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Listen:          "127.0.0.1:8080",
		AdminListen:     "127.0.0.1:8081",
		LogLevel:        "info",
		DecisionLogSize: 20_000,
		Limits: Limits{
			MaxBodyBytes: 4 << 20, MemoryBytes: 64 << 20, MaxBatchLineBytes: 1 << 20, MaxBatchItems: 1_000_000,
			ResponseBufferBytes: 8 << 20, ResumeTextBytes: 256 << 10,
			SenderTimeout: toMillis(10 * time.Second), ReaderTimeout: toMillis(30 * time.Second),
			DefaultDeadline: toMillis(time.Minute), MaxDeadline: toMillis(30 * time.Minute),
			MaxInFlight: 4_000, MaxTransfers: 64,
		},
		Retry: Retry{
			MaxAttempts: 4, Ratio: 0.1, Burst: 256, RefusedBurst: 32,
			StallTimeout: toMillis(10 * time.Second), ClaimTimeout: toMillis(3 * time.Second),
		},
		Route: Route{
			Policy: PolicyDefault, SubsetSize: 20, ReportInterval: 500, MaxReportsPerSecond: 50, PrefixBytes: 256,
			LoadBound:           1.25,
			ConsecutiveFailures: 3, BaseEjectionTime: 1_000, MaxEjectionTime: toMillis(time.Minute),
			OutlierFactor: 4, SlowStartWindow: toMillis(10 * time.Second),
			PollTimeout: 800,
		},
		Drain: Drain{BalancerWait: toMillis(5 * time.Second), FinishTimeout: toMillis(10 * time.Minute)},
	}
}

func toMillis(d time.Duration) int64 {
	return int64(clock.FromDuration(d))
}

// Load reads and validates a settings file. The error lists all faults.
func Load(file string) (Settings, error) {
	loaded := Defaults()
	err := settings.Load(file, &loaded, validate)
	return loaded, err
}
