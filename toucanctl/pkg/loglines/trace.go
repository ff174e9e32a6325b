// Package loglines follows one request, item or job through the log lines of all
// processes, and finds what they believed meanwhile.
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

// mostLine bounds one line, in bytes.
const mostLine = 1 << 20

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	Process string
	Event   string
	Level   string
	// Text is the line without its time, process, event and level.
	Text   string
	fields map[string]any
}

// Trace is what the logs tell of one id.
type Trace struct {
	// Lines name the id, or the job of an item with that id.
	Lines []Line
	// Around are changes of what the processes believed shortly before, and
	// while, the lines were written.
	Around []Line
	// Unread counts lines that are no JSON.
	Unread int
}

// idKeys are the keys under which an id stands.
var idKeys = []string{"request", "item", "job"}

// beliefs are the events that change what a process believes.
var beliefs = map[string]bool{
	"started": true, "leaving": true, "stopped": true, "failed": true, "role": true, "lead-begun": true, "lead-ended": true,
	"table-in-force": true, "table-acknowledged": true, "fleet-taken": true, "runners-changed": true, "membership-step": true,
	"core-unreachable": true, "peer_unreachable": true, "directory-unread": true, "settings-changed": true, "group_formed": true,
	"snapshot_installed": true, "log-lines-dropped": true, "vm-retiring": true,
}

// Read follows an id through the logs; around is how long before its first line
// beliefs are shown from.
func Read(id string, around time.Duration, logs ...io.Reader) (Trace, error) {
	var all []Line
	trace := Trace{}
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), mostLine)
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
	trace.pick(all, id, around)
	return trace, nil
}

// parse takes a JSON object anywhere in the line: collectors put their own words
// in front.
func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Process: word(fields, "name"), Event: word(fields, "event"), Level: word(fields, "level"), fields: fields}
	at, err := time.Parse(time.RFC3339Nano, word(fields, "at"))
	if err == nil {
		line.At = at
	}
	line.Text = rest(fields)
	return line, line.Event != ""
}

func word(fields map[string]any, key string) string {
	text, ok := fields[key].(string)
	if !ok {
		return ""
	}
	return text
}

func rest(fields map[string]any) string {
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

func (t *Trace) pick(all []Line, id string, around time.Duration) {
	job, index := "", any(nil)
	for _, line := range all {
		if word(line.fields, "item") == id {
			job, index = word(line.fields, "job"), line.fields["index"]
		}
	}
	for _, line := range all {
		named := slices.ContainsFunc(idKeys, func(key string) bool { return word(line.fields, key) == id })
		sibling := job != "" && word(line.fields, "job") == job && (line.fields["index"] == index || line.fields["index"] == nil)
		if named || sibling {
			t.Lines = append(t.Lines, line)
		}
	}
	if len(t.Lines) == 0 {
		return
	}
	first, last := t.Lines[0].At.Add(-around), t.Lines[len(t.Lines)-1].At
	for _, line := range all {
		if beliefs[line.Event] && !line.At.Before(first) && !line.At.After(last) {
			t.Around = append(t.Around, line)
		}
	}
}

// LastFailure is the last line that tells of a failure, with its reason; ok is false if
// none does.
func (t Trace) LastFailure() (line Line, ok bool) {
	for _, l := range slices.Backward(t.Lines) {
		if l.Level == "warn" || l.Level == "error" {
			return l, true
		}
	}
	return Line{}, false
}
