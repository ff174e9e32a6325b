package bench

import (
	"context"
	"fmt"
	"time"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/load"
	"toucanhinge.example/lab/pkg/process"
)

const (
	processorLength = 5 * time.Second
	// Many requests of one token against few of many tokens: two equations for
	// the cost of a request and the cost of a token.
	shortRate   = 200
	longRate    = 20
	longTokens  = 300
	processorUS = 1e6
)

var processorExperiment = Experiment{
	Name:  "processor",
	Description: "CPU of gateway and sidecar for a request and for a token, memory under load",
	Figures: []string{
		"gateway.cpu.request.us", "gateway.cpu.token.us", "sidecar.cpu.request.us", "sidecar.cpu.token.us",
	},
	Run: runProcessor,
}

func runProcessor(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: 128, Speed: 10}})
	if err != nil {
		return err
	}
	defer b.end(f)
	roles := []struct {
		name string
		node *fleet.Node
	}{{"gateway", f.Gateways[0]}, {"sidecar", f.Sidecars[0]}}
	for run := range b.Config.Runs {
		var nodes []*fleet.Node
		for _, r := range roles {
			nodes = append(nodes, r.node)
		}
		short, err := b.costOf(ctx, f, nodes, fmt.Sprintf("s%d", run), shortRate, 1)
		if err != nil {
			return err
		}
		long, err := b.costOf(ctx, f, nodes, fmt.Sprintf("l%d", run), longRate, longTokens)
		if err != nil {
			return err
		}
		for i, r := range roles {
			request, token := solve(short.cost[i], long.cost[i], longTokens)
			b.add(r.name+".cpu.request.us", request)
			b.add(r.name+".cpu.token.us", token)
			b.add(r.name+".rss.load.mb", float64(long.usage[i].ResidentBytes)/(1<<20))
		}
	}
	return nil
}

type costs struct {
	// cost is microseconds of CPU per request, for each node.
	cost  []float64
	usage []process.Usage
}

func (b *Bench) costOf(ctx context.Context, f *fleet.Fleet, nodes []*fleet.Node, name string, rate float64, tokens int) (costs, error) {
	before, err := usages(nodes)
	if err != nil {
		return costs{}, err
	}
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: tokens, Name: name}
	report := load.Run(ctx, load.Config{
		Target: f.Target, Make: mix.Make, Deadline: time.Minute,
		Schedule: load.Poisson(rate).Schedule(processorLength, b.Config.Seed),
	})
	a := arm{report: report}
	if err := a.sound(); err != nil {
		return costs{}, err
	}
	after, err := usages(nodes)
	if err != nil {
		return costs{}, err
	}
	answer := costs{usage: after}
	for i := range nodes {
		spent := (after[i].CPUTime - before[i].CPUTime).Seconds() * processorUS
		answer.cost = append(answer.cost, spent/float64(report.Calls))
	}
	return answer, nil
}

// solve splits the cost of requests with one token and with many into the cost
// of a request and of a token.
func solve(short, long float64, tokens int) (request, token float64) {
	token = max(0, (long-short)/float64(tokens-1))
	return short - token, token
}

func usages(nodes []*fleet.Node) ([]process.Usage, error) {
	all := make([]process.Usage, len(nodes))
	for i, n := range nodes {
		u, err := n.Process().Usage()
		if err != nil {
			return nil, fmt.Errorf("usage of %s: %w", n.Name, err)
		}
		all[i] = u
	}
	return all, nil
}
