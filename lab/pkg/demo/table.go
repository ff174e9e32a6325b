package demo

import (
	"fmt"
	"text/tabwriter"
	"time"
)

type row struct {
	name string
	text string
	took time.Duration
}

func (d *Demo) table() {
	table := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "step\ttook\twhat happened")
	for _, r := range d.rows {
		_, _ = fmt.Fprintf(table, "%s\t%.2f s\t%s\n", r.name, r.took.Seconds(), r.text)
	}
	_, _ = fmt.Fprintf(table, "together\t%.2f s\t\n", time.Since(d.start).Seconds())
	_ = table.Flush()
}
