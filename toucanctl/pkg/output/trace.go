package output

import (
	"encoding/json"
	"fmt"

	"toucanhinge.example/toucanctl/pkg/loglines"
	"toucanhinge.example/toucanctl/pkg/operator"
)

const stampFormat = "15:04:05.000"

// Trace prints what the logs tell of an id.
func (p Printer) Trace(id string, trace loglines.Trace) error {
	if len(trace.Lines) == 0 {
		return fmt.Errorf("%s: %w", id, operator.ErrNotFound)
	}
	if p.JSON {
		text, err := json.Marshal(trace)
		if err != nil {
			return fmt.Errorf("encode the trace: %w", err)
		}
		return p.line("%s", text)
	}
	for _, part := range []struct {
		title string
		lines []loglines.Line
	}{{"lines of " + id, trace.Lines}, {"what the processes came to believe meanwhile", trace.Around}} {
		if err := p.line("%s:", part.title); err != nil {
			return err
		}
		for _, l := range part.lines {
			if err := p.line("  %s %s %s %s", l.At.Format(stampFormat), l.Process, l.Event, l.Text); err != nil {
				return err
			}
		}
	}
	if cause, ok := trace.LastFailure(); ok {
		return p.line("last failure: %s at %s: %s", cause.Event, cause.Process, cause.Text)
	}
	return p.line("no line tells of a failure")
}

func (p Printer) line(format string, values ...any) error {
	if _, err := fmt.Fprintf(p.Out, format+"\n", values...); err != nil {
		return fmt.Errorf("write the trace: %w", err)
	}
	return nil
}
