// Package losses computes from the daemons' logs the worth that callers and teams lost, by
// route and cause and over time. It doesn't depend on the source of the logs, so that
// different loads can be evaluated in the same way.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes is the length limit of one log line.
const maxLineBytes = 1 << 20

// Log events that are evaluated.
const (
	eventRequest = "request-ended"
	eventItem    = "item-call-ended"
)

// line holds the evaluated fields of a log line.
type line struct {
	At       time.Time `json:"at"`
	Event    string    `json:"event"`
	Outcome  string    `json:"outcome"`
	Reason   string    `json:"reason"`
	Route    string    `json:"route"`
	Returned bool      `json:"returned"`
	// Durations in milliseconds.
	Expected  int64    `json:"expected-wait-ms"`
	Waited    int64    `json:"waited-ms"`
	First     int64    `json:"first-ms"`
	Objective int64    `json:"objective-ms"`
	Late      int64    `json:"late-ms"`
	Runners   []string `json:"runners"`
}

// Read adds the lines of a log to a ledger. A line may have a prefix before its JSON object;
// lines without an object are skipped. It returns the number of lines with invalid JSON.
func Read(source io.Reader, ledger *Ledger) (unread int, err error) {
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l line
		if err := json.Unmarshal(scanner.Bytes()[start:], &l); err != nil {
			unread++
			continue
		}
		ledger.add(l)
	}
	if err := scanner.Err(); err != nil {
		return unread, fmt.Errorf("read log lines: %w", err)
	}
	return unread, nil
}
