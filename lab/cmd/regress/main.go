// Command regress simulates days of deployments on an earlier commit and on a later one and
// compares them. It exits with 1 if a deployment regressed by more than the allowed share or
// a rule was broken, and with 2 if the comparison failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"

	"toucanhinge.example/lab/pkg/regress"
)

// Days by deployment size. Larger deployments run fewer days and seeds, since each takes longer.
var (
	smallDays = []string{"trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"}
	grownDays = []string{"trouble-1", "scale-1", "trouble-3"}
	largeDays = []string{"quiet-1", "trouble-1"}
)

const (
	smallSeeds    = 5
	grownSeeds    = 3
	largeSeeds    = 1
	exitRegressed = 1
	exitFailed    = 2
)

type arguments struct {
	Bench     string   `arg:"--bench,required" help:"program that simulates days" placeholder:"FILE"`
	Before    string   `arg:"--before,required" help:"baseline commit" placeholder:"COMMIT"`
	After     string   `arg:"--after" default:"HEAD" help:"commit to check" placeholder:"COMMIT"`
	Small     []string `arg:"--small,separate" help:"file of a small deployment; may be repeated" placeholder:"FILE"`
	Grown     []string `arg:"--grown,separate" help:"file of a deployment of about 60 to 100 VMs" placeholder:"FILE"`
	Large     []string `arg:"--large,separate" help:"file of a deployment of hundreds of VMs" placeholder:"FILE"`
	Days      []string `arg:"--days,separate" help:"day to run instead of the defaults; may be repeated" placeholder:"DAY"`
	Seeds     int      `arg:"--seeds" help:"seeds per day instead of the default"`
	FirstSeed int      `arg:"--first" default:"1001" help:"seed of the first pair of each day"`
	Most      float64  `arg:"--most" default:"0.03" help:"allowed mean regression of a deployment"`
	Jobs      int      `arg:"--jobs" default:"3" help:"pairs to run concurrently; each uses two CPUs"`
	Why       string   `arg:"--why" default:"regression run" help:"reason recorded in the journal of the bench program"`
	Out       string   `arg:"--out" default:"bench/out/regress" help:"folder for the checkouts, the table and the plot" placeholder:"FOLDER"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	passed, err := run(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "regress:", err)
		os.Exit(exitFailed)
	}
	if !passed {
		os.Exit(exitRegressed)
	}
}

func (a arguments) plan() regress.Plan {
	plan := regress.Plan{FirstSeed: a.FirstSeed, MaxDrop: a.Most}
	for _, size := range []struct {
		files, days []string
		seeds       int
	}{{a.Small, smallDays, smallSeeds}, {a.Grown, grownDays, grownSeeds}, {a.Large, largeDays, largeSeeds}} {
		for _, file := range size.files {
			d := regress.Deployment{File: file, Name: strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)), Days: size.days, Seeds: size.seeds}
			if len(a.Days) > 0 {
				d.Days = a.Days
			}
			if a.Seeds > 0 {
				d.Seeds = a.Seeds
			}
			plan.Deployments = append(plan.Deployments, d)
		}
	}
	return plan
}

func run(a arguments) (passed bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	plan := a.plan()
	for i, d := range plan.Deployments {
		if plan.Deployments[i].File, err = filepath.Abs(d.File); err != nil {
			return false, fmt.Errorf("resolve path of deployment %s: %w", d.File, err)
		}
	}
	runner := regress.Runner{Why: a.Why, Jobs: a.Jobs, OnResult: func(r regress.Result) {
		if r.Err != nil {
			fmt.Printf("%-60s %v\n", r.Pair, r.Err)
			return
		}
		fmt.Printf("%-60s %.3f > %.3f  %+.3f %s%s\n", r.Pair, r.Before.Worth, r.After.Worth, r.After.Worth-r.Before.Worth, r.Before.BrokenRules, r.After.BrokenRules)
	}}
	if runner.Bench, err = filepath.Abs(a.Bench); err != nil {
		return false, fmt.Errorf("resolve path of bench program: %w", err)
	}
	if runner.Before, err = checkout(ctx, a.Before, filepath.Join(a.Out, "before")); err != nil {
		return false, err
	}
	if runner.After, err = checkout(ctx, a.After, filepath.Join(a.Out, "after")); err != nil {
		return false, err
	}
	results, err := runner.Run(ctx, plan.Pairs())
	if err != nil {
		return false, err
	}
	summary := plan.Summarize(results)
	if err := writeReport(summary, a.Out); err != nil {
		return false, err
	}
	return summary.Passed(), summary.Write(os.Stdout)
}

// checkout checks out a commit into a separate clone, so that edits of the working tree
// during the run do not affect the result.
func checkout(ctx context.Context, commit, folder string) (string, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return "", fmt.Errorf("resolve checkout folder for %s: %w", commit, err)
	}
	if _, err := os.Stat(folder); os.IsNotExist(err) {
		if err := git(ctx, ".", "clone", "--quiet", "--no-checkout", ".", folder); err != nil {
			return "", err
		}
	}
	hash, err := exec.CommandContext(ctx, "git", "rev-parse", commit).Output()
	if err != nil {
		return "", fmt.Errorf("resolve commit %s: %w", commit, err)
	}
	if err := git(ctx, folder, "fetch", "--quiet", "origin"); err != nil {
		return "", err
	}
	return folder, git(ctx, folder, "checkout", "--quiet", "--force", "--detach", strings.TrimSpace(string(hash)))
}

func git(ctx context.Context, folder string, args ...string) error {
	command := exec.CommandContext(ctx, "git", args...)
	command.Dir = folder
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("git %s: %w: %s", args[0], err, out)
	}
	return nil
}

// writeReport writes the table and the plot of a summary to the output folder.
func writeReport(s regress.Summary, folder string) error {
	table, err := os.Create(filepath.Join(folder, "table.md"))
	if err != nil {
		return fmt.Errorf("create table: %w", err)
	}
	defer func() { _ = table.Close() }()
	if err := s.Write(table); err != nil {
		return err
	}
	return s.Picture().Write(filepath.Join(folder, "worth.png"))
}
