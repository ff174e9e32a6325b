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

// Outcome is what one play gave.
type Outcome struct {
	Worth float64
	// Service is the part of the credit owed that was earned over the whole day.
	Service float64
	Classes []ClassWorth
	// BrokenRules names the rules that were broken, empty if none was.
	BrokenRules string
}

// ClassWorth is what one kind of request earned, as a part of what it is owed.
type ClassWorth struct {
	Class string
	Worth float64
}

// Result is a pair that was played.
type Result struct {
	Pair
	Before, After Outcome
	Err           error
}

var errNoFigure = errors.New("the bench gave no figure")

var (
	worthLine = regexp.MustCompile(`(?m)^worth ([\d.-]+) = whole day ([\d.]+)`)
	classLine = regexp.MustCompile(`(?m)^([a-z][\w-]*) +(?:\d+ +){6}([\d.]+) `)
	ruleLine  = regexp.MustCompile(`(?m)BROKEN:? ?(.*)$`)
)

// Parse reads what the bench printed of a play.
func Parse(text string) (Outcome, error) {
	found := worthLine.FindStringSubmatch(text)
	if found == nil {
		return Outcome{}, fmt.Errorf("%w: %s", errNoFigure, lastLine(text))
	}
	o := Outcome{Worth: number(found[1]), Service: number(found[2])}
	classes, _, _ := strings.Cut(text, "clients' zone")
	for _, c := range classLine.FindAllStringSubmatch(classes, -1) {
		o.Classes = append(o.Classes, ClassWorth{Class: c[1], Worth: number(c[2])})
	}
	if rule := ruleLine.FindStringSubmatch(text); rule != nil {
		o.BrokenRules = strings.TrimSpace(rule[1])
		if o.BrokenRules == "" {
			o.BrokenRules = "a rule"
		}
	}
	return o, nil
}

func number(text string) float64 {
	// The patterns let only numbers through.
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndexByte(text, '\n')+1:]
}

// Runner runs pairs of plays.
type Runner struct {
	// Bench is the program that plays, Before and After are checkouts of the two versions.
	Bench, Before, After string
	// Why goes into the bench's journal.
	Why string
	// Jobs is how many pairs are played at once; each takes two processors.
	Jobs int
	// OnResult is told of each pair as it ends.
	OnResult func(Result)
}

// Run plays all pairs, and returns the results in the order of the pairs.
func (p Runner) Run(ctx context.Context, pairs []Pair) ([]Result, error) {
	for _, checkout := range []string{p.Before, p.After} {
		if out, err := p.command(ctx, checkout, "build").CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build %s: %w: %s", checkout, err, lastLine(string(out)))
		}
	}
	results := make([]Result, len(pairs))
	turns := make(chan int)
	var players sync.WaitGroup
	var mu sync.Mutex
	for range max(p.Jobs, 1) {
		players.Go(func() {
			for i := range turns {
				r := p.pair(ctx, pairs[i])
				mu.Lock()
				results[i] = r
				p.OnResult(r)
				mu.Unlock()
			}
		})
	}
	for i := range pairs {
		turns <- i
	}
	close(turns)
	players.Wait()
	return results, ctx.Err()
}

// pair plays both sides at the same time, so that what else the machine does falls on both.
func (p Runner) pair(ctx context.Context, pair Pair) Result {
	r := Result{Pair: pair}
	var before, after error
	var both sync.WaitGroup
	both.Go(func() { r.Before, before = p.play(ctx, p.Before, pair, "before") })
	both.Go(func() { r.After, after = p.play(ctx, p.After, pair, "after") })
	both.Wait()
	if before != nil {
		r.Err = fmt.Errorf("before: %w", before)
	}
	if after != nil {
		r.Err = fmt.Errorf("after: %w", after)
	}
	return r
}

func (p Runner) play(ctx context.Context, checkout string, pair Pair, side string) (Outcome, error) {
	command := p.command(ctx, checkout, "run", pair.Deployment.File, pair.Day,
		"--seed", strconv.Itoa(pair.Seed), "--why", fmt.Sprintf("%s (%s)", p.Why, side))
	// The bench ends with an error if a rule was broken; its figures stand all the same.
	out, runErr := command.CombinedOutput()
	o, err := Parse(string(out))
	if err != nil && runErr != nil {
		return o, fmt.Errorf("%w: %w", err, runErr)
	}
	return o, err
}

func (p Runner) command(ctx context.Context, checkout string, words ...string) *exec.Cmd {
	c := exec.CommandContext(ctx, p.Bench, words...)
	c.Dir = checkout
	return c
}
