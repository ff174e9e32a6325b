package demo

import (
	"fmt"
	"text/tabwriter"
	"time"
)

type row struct {
	name     string
	result   string
	duration time.Duration
}

func (d *Demo) printTable() {
	table := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "step\tduration\tresult")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(table, "%s\t%.2f s\t%s\n", r.name, r.duration.Seconds(), r.result)
	}
	_, _ = fmt.Fprintf(table, "total\t%.2f s\t\n", time.Since(d.start).Seconds())
	_ = table.Flush()
}
