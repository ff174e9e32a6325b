// Package summary collects the figures of a bench run under fixed names, keeps
// the median of several runs, and writes them as one flat JSON object.
package summary

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"text/tabwriter"
)

// FigureNames are the figures that a whole bench run is to bring, in the order of the table.
var FigureNames = []string{
	"overhead.ttft.p50.ms", "overhead.ttft.p99.ms", "overhead.itl.p95.ms",
	"gateway.cpu.request.us", "gateway.cpu.token.us", "sidecar.cpu.request.us", "sidecar.cpu.token.us",
	"gateway.rss.mb", "sidecar.rss.mb", "control.rss.mb", "sidecar.control.bytes", "gateway.control.bytes",
	"items.onegroup", "items.fourgroups", "item.cpu.us", "item.disk.bytes",
	"failover.p99.ms", "config.p99.ms", "restart.ms", "accept210k.s", "results.persec",
	"harm.ttft", "harm.itl", "naive.harm.ttft", "naive.harm.itl", "batch.fill", "naive.batch.fill",
	"yield.p99.steps", "overload2.goodput", "overload2.attempts", "overload2.refusal.p99.ms",
	"death.lost", "death.recover.s",
}

// Summary holds what was measured so far.
type Summary struct {
	values map[string][]float64
	// reasons says why a figure could not be measured.
	reasons map[string]string
}

// New is an empty summary.
func New() *Summary {
	return &Summary{values: make(map[string][]float64), reasons: make(map[string]string)}
}

// Add notes one run's value of a figure.
func (s *Summary) Add(name string, value float64) {
	s.values[name] = append(s.values[name], value)
}

// MarkMissing notes why a figure is left out.
func (s *Summary) MarkMissing(name, reason string) { s.reasons[name] = reason }

// Median is the figure's median over the runs made.
func (s *Summary) Median(name string) (float64, bool) {
	values := append([]float64(nil), s.values[name]...)
	if len(values) == 0 {
		return 0, false
	}
	sort.Float64s(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle], true
	}
	return (values[middle-1] + values[middle]) / 2, true
}

// WriteFile writes the medians as one flat object of names to numbers.
func (s *Summary) WriteFile(file string) error {
	flat := make(map[string]float64, len(s.values))
	for name := range s.values {
		flat[name], _ = s.Median(name)
	}
	text, err := json.MarshalIndent(flat, "", "  ")
	if err != nil {
		return fmt.Errorf("encode summary: %w", err)
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o600); err != nil {
		return fmt.Errorf("write summary: %w", err)
	}
	return nil
}

// Print writes the table: median, spread and number of runs, and what is left out.
func (s *Summary) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "figure\tmedian\tlowest\thighest\truns")
	for _, name := range s.ordered() {
		median, ok := s.Median(name)
		if !ok {
			reason := s.reasons[name]
			if reason == "" {
				reason = "its experiment was not run"
			}
			_, _ = fmt.Fprintf(table, "%s\tleft out: %s\n", name, reason)
			continue
		}
		values := append([]float64(nil), s.values[name]...)
		sort.Float64s(values)
		_, _ = fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%.4g\t%d\n", name, median, values[0], values[len(values)-1], len(values))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// ordered is the fixed names, then whatever else was measured.
func (s *Summary) ordered() []string {
	known := make(map[string]bool, len(FigureNames))
	for _, name := range FigureNames {
		known[name] = true
	}
	var others []string
	for name := range s.values {
		if !known[name] {
			others = append(others, name)
		}
	}
	sort.Strings(others)
	return append(append([]string(nil), FigureNames...), others...)
}
