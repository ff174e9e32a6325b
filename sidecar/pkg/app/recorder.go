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

// recorder counts and records the decisions of this process.
type recorder struct {
	name     string
	logger   log.Logger
	records  *record.Log
	counters *counters
}

func newRecorder(s config.Settings, l log.Logger, records *record.Log, c *counters) *recorder {
	return &recorder{name: s.Name, logger: l, records: records, counters: c}
}

func (r *recorder) refused(requestID string, reason admit.Reason, ran toucanhingev1.Ran) {
	r.counters.set.Refused.WithLabelValues(refusedAtOnline, string(reason)).Inc()
	r.records.Add(requestID, "refused", fmt.Sprintf("%s, ran %s", reason, strings.ToLower(strings.TrimPrefix(ran.String(), "RAN_"))))
	level.Debug(r.logger).Log(logs.KeyEvent, "refused", logs.KeyRequest, requestID, "reason", reason)
}

func (r *recorder) started(requestID string, attempt uint32) {
	r.records.Add(requestID, "started", fmt.Sprintf("attempt %d", attempt))
}

func (r *recorder) ended(requestID, reason string) {
	if reason == "" {
		r.records.Add(requestID, "answered", "")
		return
	}
	r.counters.brokenAnswers.WithLabelValues(reason).Inc()
	r.records.Add(requestID, "broken", reason)
	level.Info(r.logger).Log(logs.KeyEvent, "broken", logs.KeyRequest, requestID, "reason", reason)
}

func (r *recorder) item(item, event, detail string) {
	r.records.Add(item, event, detail)
	if event == "verdict" {
		r.counters.verdicts.WithLabelValues(detail).Inc()
		if detail != "accepted" {
			r.counters.set.Refused.WithLabelValues(refusedAtReports, detail).Inc()
		}
		return
	}
	r.counters.items.WithLabelValues(event).Inc()
	if event == "retry" || event == "returned" {
		r.counters.set.Retried.WithLabelValues("item", detail).Inc()
	}
}

func (r *recorder) order(fence uint64, event, detail string) {
	r.counters.orders.WithLabelValues(event).Inc()
	r.records.Add(r.name, event, fmt.Sprintf("%s number %d", detail, fence))
}
