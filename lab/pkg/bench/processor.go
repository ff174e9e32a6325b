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
	processorDuration = 5 * time.Second
	// Many requests of one token and few requests of many tokens give two equations
	// for the cost per request and the cost per token.
	shortRate       = 200
	longRate        = 20
	longTokens      = 300
	microsPerSecond = 1e6
)

var processorExperiment = Experiment{
	Name:        "processor",
	Description: "CPU of gateway and sidecar per request and per token, memory under load",
	Figures: []string{
		"gateway.cpu.request.us", "gateway.cpu.token.us", "sidecar.cpu.request.us", "sidecar.cpu.token.us",
	},
	Run: runProcessor,
}

func runProcessor(ctx context.Context, b *Bench) error {
	f, err := b.startFleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1, Engine: fleet.Engine{Slots: 128, Speed: 10}})
	if err != nil {
		return err
	}
	defer b.stopFleet(f)
	roles := []struct {
		name string
		node *fleet.Node
	}{{"gateway", f.Gateways[0]}, {"sidecar", f.Sidecars[0]}}
	for run := range b.Config.Runs {
		var nodes []*fleet.Node
		for _, r := range roles {
			nodes = append(nodes, r.node)
		}
		short, err := b.measureCosts(ctx, f, nodes, fmt.Sprintf("s%d", run), shortRate, 1)
		if err != nil {
			return err
		}
		long, err := b.measureCosts(ctx, f, nodes, fmt.Sprintf("l%d", run), longRate, longTokens)
		if err != nil {
			return err
		}
		for i, r := range roles {
			request, token := splitCost(short.cost[i], long.cost[i], longTokens)
			b.addFigure(r.name+".cpu.request.us", request)
			b.addFigure(r.name+".cpu.token.us", token)
			b.addFigure(r.name+".rss.load.mb", float64(long.usage[i].ResidentBytes)/(1<<20))
		}
	}
	return nil
}

// nodeCosts holds the cost and the resource usage of each node.
type nodeCosts struct {
	// cost is the CPU time per request in microseconds, for each node.
	cost  []float64
	usage []process.Usage
}

func (b *Bench) measureCosts(
	ctx context.Context, f *fleet.Fleet, nodes []*fleet.Node, name string, rate float64, tokens int,
) (nodeCosts, error) {
	before, err := nodeUsages(nodes)
	if err != nil {
		return nodeCosts{}, err
	}
	mix := load.Mix{Model: fleet.Model, UniqueBytes: 200, MinTokens: tokens, Name: name}
	report := load.Run(ctx, load.Config{
		Target: f.Target, Make: mix.Make, Deadline: time.Minute,
		Schedule: load.Poisson(rate).Schedule(processorDuration, b.Config.Seed),
	})
	a := arm{report: report}
	if err := a.checkSuccessShare(); err != nil {
		return nodeCosts{}, err
	}
	after, err := nodeUsages(nodes)
	if err != nil {
		return nodeCosts{}, err
	}
	costs := nodeCosts{usage: after}
	for i := range nodes {
		spent := (after[i].CPUTime - before[i].CPUTime).Seconds() * microsPerSecond
		costs.cost = append(costs.cost, spent/float64(report.Calls))
	}
	return costs, nil
}

// splitCost derives the cost per request and per token from the costs of requests
// with one token and with many tokens.
func splitCost(short, long float64, tokens int) (request, token float64) {
	token = max(0, (long-short)/float64(tokens-1))
	return short - token, token
}

func nodeUsages(nodes []*fleet.Node) ([]process.Usage, error) {
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
