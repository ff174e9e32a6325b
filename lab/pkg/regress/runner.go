package regress

import (
	"context"
	"fmt"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Outcome is the result of one bench run.
type Outcome struct {
	Worth float64
	// Service is the fraction of the possible credit earned over the whole day.
	Service float64
	Classes []ClassWorth
	// BrokenRules names the rules that were broken, empty if none was.
	BrokenRules string
}

// ClassWorth is the fraction of the possible credit earned by one class of requests.
type ClassWorth struct {
	Class string
	Worth float64
}

// Result is the outcome of both runs of a pair.
type Result struct {
	Pair
	Before, After Outcome
	Err           error
}

var errNoResult = errors.New("no worth in the output of the bench")

var (
	worthLine = regexp.MustCompile(`(?m)^worth ([\d.-]+) = whole day ([\d.]+)`)
	classLine = regexp.MustCompile(`(?m)^([a-z][\w-]*) +(?:\d+ +){6}([\d.]+) `)
	ruleLine  = regexp.MustCompile(`(?m)BROKEN:? ?(.*)$`)
)

// Parse parses the bench's output of one run.
func Parse(text string) (Outcome, error) {
	found := worthLine.FindStringSubmatch(text)
	if found == nil {
		return Outcome{}, fmt.Errorf("%w: %s", errNoResult, lastLine(text))
	}
	o := Outcome{Worth: parseNumber(found[1]), Service: parseNumber(found[2])}
	classes, _, _ := strings.Cut(text, "clients' zone")
	for _, c := range classLine.FindAllStringSubmatch(classes, -1) {
		o.Classes = append(o.Classes, ClassWorth{Class: c[1], Worth: parseNumber(c[2])})
	}
	if rule := ruleLine.FindStringSubmatch(text); rule != nil {
		o.BrokenRules = strings.TrimSpace(rule[1])
		if o.BrokenRules == "" {
			o.BrokenRules = "a rule"
		}
	}
	return o, nil
}

func parseNumber(text string) float64 {
	// The patterns match only digits, dots and minus signs.
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// Runner runs pairs with the bench.
type Runner struct {
	// Bench is the path of the bench program, Before and After are checkouts of the two versions.
	Bench, Before, After string
	// Why is the reason that the bench records in its journal.
	Why string
	// Jobs is the number of pairs to run in parallel; each uses two processors.
	Jobs int
	// OnResult is called with the result of each pair; calls don't overlap.
	OnResult func(Result)
}

// Run runs all pairs and returns the results in the order of the pairs.
func (r Runner) Run(ctx context.Context, pairs []Pair) ([]Result, error) {
	for _, checkout := range []string{r.Before, r.After} {
		if out, err := r.command(ctx, checkout, "build").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build %s: %w: %s", checkout, err, lastLine(string(out)))
		}
	}
	results := make([]Result, len(pairs))
	indexes := make(chan int)
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range max(r.Jobs, 1) {
		workers.Go(func() {
			for i := range indexes {
				result := r.runPair(ctx, pairs[i])
				mu.Lock()
				results[i] = result
				r.OnResult(result)
				mu.Unlock()
			}
		})
	}
	for i := range pairs {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	return results, ctx.Err()
}

// runPair runs both versions at the same time, so that other load on the machine affects both.
func (r Runner) runPair(ctx context.Context, pair Pair) Result {
	result := Result{Pair: pair}
	var before, after error
	var both sync.WaitGroup
	both.Go(func() { result.Before, before = r.runBench(ctx, r.Before, pair, "before") })
	both.Go(func() { result.After, after = r.runBench(ctx, r.After, pair, "after") })
	both.Wait()
	if before != nil {
		result.Err = fmt.Errorf("run the version before: %w", before)
	}
	if after != nil {
		result.Err = fmt.Errorf("run the version after: %w", after)
	}
	return result
}

func (r Runner) runBench(ctx context.Context, checkout string, pair Pair, side string) (Outcome, error) {
	command := r.command(ctx, checkout, "run", pair.Deployment.File, pair.Day,
		"--seed", strconv.Itoa(pair.Seed), "--why", fmt.Sprintf("%s (%s)", r.Why, side))
	// The bench exits with an error if a rule was broken; its output is still valid.
	out, runErr := command.CombinedOutput()
	o, err := Parse(string(out))
	if err != nil && runErr != nil {
		return o, fmt.Errorf("%w: %w", err, runErr)
	}
	return o, err
}

func (r Runner) command(ctx context.Context, checkout string, args ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, r.Bench, args...)
	c.Dir = checkout
	return c
}
