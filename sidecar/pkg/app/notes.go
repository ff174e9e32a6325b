package app

import (
	"fmt"
	"strings"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"toucanhinge.example/common/pkg/logs"
	"toucanhinge.example/common/pkg/record"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/sidecar/pkg/admit"
	"toucanhinge.example/sidecar/pkg/config"
)

// notes counts and records what this process decided.
type notes struct {
	name     string
	logger   log.Logger
	book     *record.Log
	counters *counters
}

func newNotes(s config.Settings, l log.Logger, book *record.Log, c *counters) *notes {
	return &notes{name: s.Name, logger: l, book: book, counters: c}
}

func (n *notes) refused(requestID string, reason admit.Reason, ran toucanhingev1.Ran) {
	n.counters.set.Refused.WithLabelValues(placeOnline, string(reason)).Inc()
	n.book.Add(requestID, "refused", fmt.Sprintf("%s, ran %s", reason, strings.ToLower(strings.TrimPrefix(ran.String(), "RAN_"))))
	level.Debug(n.logger).Log(logs.KeyEvent, "refused", logs.KeyRequest, requestID, "reason", reason)
}

func (n *notes) started(requestID string, attempt uint32) {
	n.book.Add(requestID, "started", fmt.Sprintf("attempt %d", attempt))
}

func (n *notes) ended(requestID, reason string) {
	if reason == "" {
		n.book.Add(requestID, "answered", "")
		return
	}
	n.counters.ended.WithLabelValues(reason).Inc()
	n.book.Add(requestID, "broken", reason)
	level.Info(n.logger).Log(logs.KeyEvent, "broken", logs.KeyRequest, requestID, "reason", reason)
}

func (n *notes) item(item, event, detail string) {
	n.book.Add(item, event, detail)
	if event == "verdict" {
		n.counters.verdicts.WithLabelValues(detail).Inc()
		if detail != "accepted" {
			n.counters.set.Refused.WithLabelValues(placeReports, detail).Inc()
		}
		return
	}
	n.counters.items.WithLabelValues(event).Inc()
	if event == "retry" || event == "returned" {
		n.counters.set.Retried.WithLabelValues("item", detail).Inc()
	}
}

func (n *notes) order(fence uint64, event, detail string) {
	n.counters.orders.WithLabelValues(event).Inc()
	n.book.Add(n.name, event, fmt.Sprintf("%s number %d", detail, fence))
}
