package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"toucanhinge.example/lab/pkg/plots"
)

// itemsRoute is the route name under which items are counted.
const itemsRoute = "items"

// Weights are the remaining worth of answers, from 0 to 1 in whole answers.
type Weights struct {
	// Late is the worth of an answer past its objective, InTimeOnRetry that of an answer
	// in time at the second attempt.
	Late, InTimeOnRetry float64
}

// Row is the loss on one route for one cause.
type Row struct {
	Route string
	Cause Cause
	Count int
	// Lost is the lost worth in whole answers.
	Lost float64
}

type entry struct {
	at    time.Time
	route string
	cause Cause
}

// Ledger collects the outcomes of requests and items.
type Ledger struct {
	weights Weights
	entries []entry
}

// New returns an empty ledger.
func New(weights Weights) *Ledger { return &Ledger{weights: weights} }

func (l *Ledger) add(read line) {
	switch read.Event {
	case eventRequest:
		l.entries = append(l.entries, entry{read.At, read.Route, requestCause(read)})
	case eventItem:
		if read.Outcome != outcomeFinished {
			return
		}
		cause := InTime
		if read.Late > 0 {
			cause = ItemLate
		}
		l.entries = append(l.entries, entry{read.At, itemsRoute, cause})
	}
}

// lost returns the fraction of a whole answer's worth that is lost for a cause.
func (l *Ledger) lost(cause Cause) float64 {
	switch cause {
	case InTime:
		return 0
	case InTimeOnRetry:
		return 1 - l.weights.InTimeOnRetry
	case LateOnRetry, QueuedTooLong, SlotTaken, RestartedElsewhere, ItemLate:
		return 1 - l.weights.Late
	default:
		return 1
	}
}

// Rows lists the losses, largest first. Each attempt has its own log line, so the number of
// retries on a route is subtracted from its refused requests to get those without a retry.
func (l *Ledger) Rows() []Row {
	var rows []Row
	retries := map[string]int{}
	for _, e := range l.entries {
		if e.cause == InTimeOnRetry || e.cause == LateOnRetry || e.cause == RefusedTwice {
			retries[e.route]++
		}
		at := slices.IndexFunc(rows, func(r Row) bool { return r.Route == e.route && r.Cause == e.cause })
		if at < 0 {
			rows = append(rows, Row{Route: e.route, Cause: e.cause})
			at = len(rows) - 1
		}
		rows[at].Count++
	}
	for i, r := range rows {
		if r.Cause == RefusedNotRetried {
			rows[i].Count = max(r.Count-retries[r.Route], 0)
		}
		rows[i].Lost = float64(rows[i].Count) * l.lost(r.Cause)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route+string(a.Cause), b.Route+string(b.Cause)))
	})
	return rows
}

// Table writes the rows and their sum as a Markdown table.
func (l *Ledger) Table(w io.Writer) error {
	text := "| route | what became of it | requests | lost, whole answers | share of all |\n|---|---|---|---|---|\n"
	count, lost := 0, 0.0
	rows := l.Rows()
	for _, r := range rows {
		count += r.Count
		lost += r.Lost
	}
	for _, r := range rows {
		text += fmt.Sprintf("| %s | %s | %d | %.1f | %.4f |\n", r.Route, r.Cause, r.Count, r.Lost, r.Lost/float64(max(count, 1)))
	}
	text += fmt.Sprintf("| all | | %d | %.1f | %.4f |\n", count, lost, lost/float64(max(count, 1)))
	if _, err := io.WriteString(w, text); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// Picture plots the losses over time, in whole answers per interval, with one line per cause.
func (l *Ledger) Picture(interval time.Duration) plots.Picture {
	picture := plots.Picture{Title: "Worth lost over time", X: "seconds", Y: fmt.Sprintf("whole answers lost in %v", interval)}
	if len(l.entries) == 0 {
		return picture
	}
	byTime := func(a, b entry) int { return a.at.Compare(b.at) }
	first, last := slices.MinFunc(l.entries, byTime).at, slices.MaxFunc(l.entries, byTime).at
	intervals := int(last.Sub(first)/interval) + 1
	sums := map[Cause][]float64{}
	for _, e := range l.entries {
		// A refused request counts by the outcome of its second attempt.
		if e.cause == InTime || e.cause == RefusedNotRetried {
			continue
		}
		if sums[e.cause] == nil {
			sums[e.cause] = make([]float64, intervals)
		}
		sums[e.cause][int(e.at.Sub(first)/interval)] += l.lost(e.cause)
	}
	for cause, values := range sums {
		points := plots.Line{Name: string(cause)}
		for i, v := range values {
			points.Points = append(points.Points, plots.Point{X: float64(i) * interval.Seconds(), Y: v})
		}
		picture.Lines = append(picture.Lines, points)
	}
	slices.SortFunc(picture.Lines, func(a, b plots.Line) int { return cmp.Compare(a.Name, b.Name) })
	return picture
}
