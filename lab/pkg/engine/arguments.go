package engine

import "time"

// Arguments holds the engine's command-line flags. Times are in milliseconds.
type Arguments struct {
	Listen      string  `arg:"--listen" default:"127.0.0.1:9100" help:"host:port to serve on"`
	Name        string  `arg:"--name" default:"engine" help:"engine name in the health response"`
	Model       string  `arg:"--model" default:"small" help:"model loaded at startup"`
	Slots       int     `arg:"--slots" default:"16" help:"maximum number of concurrent sequences"`
	StepMs      float64 `arg:"--step-ms" default:"0" help:"duration of a step with an empty batch; 0 means the default"`
	Speed       float64 `arg:"--speed" default:"1" help:"factor by which all simulated durations are divided"`
	CacheBlocks int     `arg:"--cache-blocks" default:"4096" help:"capacity of the prefix cache in blocks"`
	KeepMs      int64   `arg:"--keep-ms" default:"10000" help:"how long the KV cache of a suspended stream is retained"`
	LoadLagMs   int64   `arg:"--load-lag-ms" default:"200" help:"age of the reported load"`
	EventLagMs  int64   `arg:"--event-lag-ms" default:"500" help:"delay before a cache event is published"`
	EventGap    float64 `arg:"--event-gap" default:"0.02" help:"fraction of cache events that are dropped"`
	CheckFence  bool    `arg:"--check-fence" help:"refuse orders with an older fencing number"`
	Weights     string  `arg:"--weights" help:"base URL of the weight store"`
	LoadMs      int64   `arg:"--load-ms" default:"500" help:"duration of a model load without a weight store"`
	LateMs      int64   `arg:"--late-ms" help:"fault: delay each event"`
	SlowFactor  float64 `arg:"--slow-factor" help:"fault: multiply the step time"`
	Reorder     bool    `arg:"--reorder" help:"fault: swap neighbouring events"`
	Short       bool    `arg:"--short" help:"fault: end responses after half their tokens"`
	Garbage     bool    `arg:"--garbage" help:"fault: put invalid JSON into responses"`
	LieLoad     bool    `arg:"--lie-load" help:"fault: report an idle engine"`
	Seed        uint64  `arg:"--seed" default:"1" help:"random seed for dropping cache events"`
}

// Config returns the engine configuration for the flags. exit is called on a crash.
func (a Arguments) Config(exit func(int)) Config {
	return Config{
		Name: a.Name, Model: a.Model, Slots: a.Slots, CacheBlocks: a.CacheBlocks,
		Timing:      Timing{Base: time.Duration(a.StepMs * float64(time.Millisecond)), Speed: a.Speed},
		KVRetention: milliseconds(a.KeepMs),
		LoadLag:     milliseconds(a.LoadLagMs),
		EventLag:    milliseconds(a.EventLagMs), EventGap: a.EventGap,
		CheckFence: a.CheckFence, Weights: a.Weights, LoadTime: milliseconds(a.LoadMs),
		Faults: Faults{
			LateMs: a.LateMs, SlowFactor: a.SlowFactor, Reorder: a.Reorder,
			Short: a.Short, Garbage: a.Garbage, LieLoad: a.LieLoad,
		},
		Seed: a.Seed, Exit: exit,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
