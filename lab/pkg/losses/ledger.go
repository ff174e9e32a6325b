package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"toucanhinge.example/lab/pkg/plots"
)

// items is the name under which items are counted.
const items = "items"

// Weights says what is left of a whole answer's worth, from 0 to 1.
type Weights struct {
	// Late is that of an answer past its objective, CameBack that of one in time at the
	// second attempt.
	Late, InTimeOnRetry float64
}

// Row is what was lost on a route for one cause.
type Row struct {
	Route string
	Cause Cause
	Count int
	// Lost is in whole answers.
	Lost float64
}

type entry struct {
	at    time.Time
	route string
	cause Cause
}

// Ledger collects what became of requests and items.
type Ledger struct {
	weights Weights
	entries []entry
}

// New makes an empty ledger.
func New(weights Weights) *Ledger { return &Ledger{weights: weights} }

func (l *Ledger) add(read line) {
	switch read.Event {
	case eventRequest:
		l.entries = append(l.entries, entry{read.At, read.Route, causeOf(read)})
	case eventItem:
		if read.Outcome != outcomeFinished {
			return
		}
		cause := InTime
		if read.Late > 0 {
			cause = ItemLate
		}
		l.entries = append(l.entries, entry{read.At, items, cause})
	}
}

// lost is the part of a whole answer's worth that a cause takes.
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

// Rows lists what was lost, most first. A request that was turned away is one of those
// that came back, as far as these go: each attempt has its own lines.
func (l *Ledger) Rows() []Row {
	var rows []Row
	back := map[string]int{}
	for _, e := range l.entries {
		if e.cause == InTimeOnRetry || e.cause == LateOnRetry || e.cause == RefusedTwice {
			back[e.route]++
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
			rows[i].Count = max(r.Count-back[r.Route], 0)
		}
		rows[i].Lost = float64(rows[i].Count) * l.lost(r.Cause)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.Lost, a.Lost), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route+string(a.Cause), b.Route+string(b.Cause)))
	})
	return rows
}

// Table writes the rows as Markdown, with a sum that they add up to.
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

// Picture draws what was lost over time, a line for each cause, in whole answers for
// each span.
func (l *Ledger) Picture(span time.Duration) plots.Picture {
	picture := plots.Picture{Title: "Worth lost over time", X: "seconds", Y: fmt.Sprintf("whole answers lost in %v", span)}
	if len(l.entries) == 0 {
		return picture
	}
	earliest := func(a, b entry) int { return a.at.Compare(b.at) }
	first, last := slices.MinFunc(l.entries, earliest).at, slices.MaxFunc(l.entries, earliest).at
	spans := int(last.Sub(first)/span) + 1
	sums := map[Cause][]float64{}
	for _, e := range l.entries {
		// Who was turned away is judged by what became of the second attempt.
		if e.cause == InTime || e.cause == RefusedNotRetried {
			continue
		}
		if sums[e.cause] == nil {
			sums[e.cause] = make([]float64, spans)
		}
		sums[e.cause][int(e.at.Sub(first)/span)] += l.lost(e.cause)
	}
	for cause, values := range sums {
		drawn := plots.Line{Name: string(cause)}
		for i, v := range values {
			drawn.Points = append(drawn.Points, plots.Point{X: float64(i) * span.Seconds(), Y: v})
		}
		picture.Lines = append(picture.Lines, drawn)
	}
	slices.SortFunc(picture.Lines, func(a, b plots.Line) int { return cmp.Compare(a.Name, b.Name) })
	return picture
}
