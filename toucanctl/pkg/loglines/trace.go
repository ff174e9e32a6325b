// Package loglines finds the log lines of one request, item or job across all
// processes, and the state changes of these processes in the same period.
package loglines

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the length limit of one log line.
const maxLineBytes = 1 << 20

// Line is one structured log line of a process.
type Line struct {
	At      time.Time
	Process string
	Event   string
	Level   string
	// Text holds the remaining fields as sorted key=value pairs.
	Text   string
	fields map[string]any
}

// Trace holds the log lines that concern one id.
type Trace struct {
	// Lines mention the id, or belong to the job of an item with that id.
	Lines []Line
	// Around holds state changes of the processes from shortly before the first
	// to the last of Lines.
	Around []Line
	// Unread counts lines without a JSON object or an event.
	Unread int
}

// idKeys are the log keys that hold an id.
var idKeys = []string{"request", "item", "job"}

// stateEvents are the events that change a process's state or its view of the fleet.
var stateEvents = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "failed": true, "role": true, "lead-begun": true, "lead-ended": true,
	"table-in-force": true, "table-acknowledged": true, "fleet-taken": true, "runners-changed": true, "membership-step": true,
	"core-unreachable": true, "peer_unreachable": true, "directory-unread": true, "settings-changed": true, "group_formed": true,
	"snapshot_installed": true, "log-lines-dropped": true, "vm-retiring": true,
}

// Read collects the log lines that concern an id. State changes are included from
// the given duration before the first of these lines.
func Read(id string, around time.Duration, logs ...io.Reader) (Trace, error) {
	var all []Line
	trace := Trace{}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			line, ok := parse(scanner.Text())
			if !ok {
				trace.Unread++
				continue
			}
			all = append(all, line)
		}
		if err := scanner.Err(); err != nil {
			return trace, fmt.Errorf("read log lines: %w", err)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	trace.selectLines(all, id, around)
	return trace, nil
}

// parse reads the JSON object in a line. The object may follow a prefix, because log
// collectors add their own fields in front.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Process: stringField(fields, "name"), Event: stringField(fields, "event"), Level: stringField(fields, "level"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, stringField(fields, "at"))
	if err == nil {
		line.At = at
	}
	line.Text = formatFields(fields)
	return line, line.Event != ""
}

func stringField(fields map[string]any, key string) string {
	text, ok := fields[key].(string)
	if !ok {
		return ""
	}
	return text
}

func formatFields(fields map[string]any) string {
	var parts []string
	for key, value := range fields {
		switch key {
		case "at", "name", "event", "level", "program":
			continue
		}
		if value == nil || value == "" {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", key, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

func (t *Trace) selectLines(all []Line, id string, around time.Duration) {
	job, index := "", any(nil)
	for _, line := range all {
		if stringField(line.fields, "item") == id {
			job, index = stringField(line.fields, "job"), line.fields["index"]
		}
	}
	for _, line := range all {
		hasID := slices.ContainsFunc(idKeys, func(key string) bool { return stringField(line.fields, key) == id })
		sameItem := job != "" && stringField(line.fields, "job") == job && (line.fields["index"] == index || line.fields["index"] == nil)
		if hasID || sameItem {
			t.Lines = append(t.Lines, line)
		}
	}
	if len(t.Lines) == 0 {
		return
	}
	first, last := t.Lines[0].At.Add(-around), t.Lines[len(t.Lines)-1].At
	for _, line := range all {
		if stateEvents[line.Event] && !line.At.Before(first) && !line.At.After(last) {
			t.Around = append(t.Around, line)
		}
	}
}

// LastFailure returns the last line of level warn or error; ok is false if there
// is none.
func (t Trace) LastFailure() (line Line, ok bool) {
	for _, l := range slices.Backward(t.Lines) {
		if l.Level == "warn" || l.Level == "error" {
			return l, true
		}
	}
	return Line{}, false
}
