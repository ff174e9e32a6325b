package engine

import "time"

// Arguments is the engine's command line. Times are in milliseconds.
type Arguments struct {
	Listen      string  `arg:"--listen" default:"127.0.0.1:9100" help:"host:port to serve on"`
	Name        string  `arg:"--name" default:"engine" help:"name in answers"`
	Model       string  `arg:"--model" default:"small" help:"model loaded at the start"`
	Slots       int     `arg:"--slots" default:"16" help:"sequences run at once"`
	StepMs      float64 `arg:"--step-ms" default:"0" help:"time of an empty step; 0 means the built-in one"`
	Speed       float64 `arg:"--speed" default:"1" help:"divides every time of the model"`
	CacheBlocks int     `arg:"--cache-blocks" default:"4096" help:"blocks of the prefix cache"`
	KeepMs      int64   `arg:"--keep-ms" default:"10000" help:"how long a suspended stream's KV stays"`
	LoadLagMs   int64   `arg:"--load-lag-ms" default:"200" help:"age of the reported load"`
	EventLagMs  int64   `arg:"--event-lag-ms" default:"500" help:"age of published cache events"`
	EventGap    float64 `arg:"--event-gap" default:"0.02" help:"share of cache events never published"`
	CheckFence  bool    `arg:"--check-fence" help:"refuse orders with an older fencing number"`
	Weights     string  `arg:"--weights" help:"base URL of the weight store"`
	LoadMs      int64   `arg:"--load-ms" default:"500" help:"time of a load without a weight store"`
	LateMs      int64   `arg:"--late-ms" help:"fault: hold back each event"`
	SlowFactor  float64 `arg:"--slow-factor" help:"fault: multiply the step time"`
	Reorder     bool    `arg:"--reorder" help:"fault: swap neighbouring events"`
	Short       bool    `arg:"--short" help:"fault: end answers after half their tokens"`
	Garbage     bool    `arg:"--garbage" help:"fault: put bytes that are no JSON into answers"`
	LieLoad     bool    `arg:"--lie-load" help:"fault: report an idle engine"`
	Seed        uint64  `arg:"--seed" default:"1" help:"seed of the event gaps"`
}

// Config turns the command line into a configuration.
func (a Arguments) Config(exit func(int)) Config {
	return Config{
		Name: a.Name, Model: a.Model, Slots: a.Slots, CacheBlocks: a.CacheBlocks,
		Timing:   Timing{Base: time.Duration(a.StepMs * float64(time.Millisecond)), Speed: a.Speed},
		KVRetention:     milliseconds(a.KeepMs),
		LoadLag:  milliseconds(a.LoadLagMs),
		EventLag: milliseconds(a.EventLagMs), EventGap: a.EventGap,
		CheckFence: a.CheckFence, Weights: a.Weights, LoadTime: milliseconds(a.LoadMs),
		Faults: Faults{
			LateMs: a.LateMs, SlowFactor: a.SlowFactor, Reorder: a.Reorder,
			Short: a.Short, Garbage: a.Garbage, LieLoad: a.LieLoad,
		},
		Seed: a.Seed, Exit: exit,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
