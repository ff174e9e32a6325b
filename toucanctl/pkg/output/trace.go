package output

import (
	"encoding/json"
	"fmt"

	"toucanhinge.example/toucanctl/pkg/loglines"
	"toucanhinge.example/toucanctl/pkg/operator"
)

const timeFormat = "15:04:05.000"

// Trace prints the log lines that concern an id and the last failure among them.
func (p Printer) Trace(id string, trace loglines.Trace) error {
	if len(trace.Lines) == 0 {
		return fmt.Errorf("%s: %w", id, operator.ErrNotFound)
	}
	if p.JSON {
		text, err := json.Marshal(trace)
		if err != nil {
			return fmt.Errorf("encode the trace: %w", err)
		}
		return p.printf("%s", text)
	}
	for _, section := range []struct {
		title string
		lines []loglines.Line
	}{{"lines of " + id, trace.Lines}, {"state changes of the processes in this period", trace.Around}} {
		if err := p.printf("%s:", section.title); err != nil {
			return err
		}
		for _, l := range section.lines {
			if err := p.printf("  %s %s %s %s", l.At.Format(timeFormat), l.Process, l.Event, l.Text); err != nil {
				return err
			}
		}
	}
	if failure, ok := trace.LastFailure(); ok {
		return p.printf("last failure: %s at %s: %s", failure.Event, failure.Process, failure.Text)
	}
	return p.printf("no line reports a failure")
}

func (p Printer) printf(format string, values ...any) error {
	if _, err := fmt.Fprintf(p.Out, format+"\n", values...); err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}
