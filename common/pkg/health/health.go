// Package health serves liveness and readiness checks. A process that shuts down fails its readiness
// check first, so that the platform's load balancer stops sending requests while the process still
// answers those that arrive.
package health

import (
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths served by every process.
const (
	PathLive    = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
)

// Status is the readiness of a process. The zero value is not ready.
type Status struct {
	mu     sync.Mutex
	ready  bool
	reason string
}

// New returns a status that is not ready yet.
func New() *Status {
	return &Status{reason: "starting"}
}

// Ready marks the process as ready for work.
func (s *Status) Ready() {
	s.set(true, "")
}

// NotReady marks the process as not ready for the given reason.
func (s *Status) NotReady(reason string) {
	s.set(false, reason)
}

func (s *Status) set(ready bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
	s.reason = reason
}

// State returns the readiness, and the reason if not ready.
func (s *Status) State() (ready bool, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready, s.reason
}

type readyReply struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

// Mount adds the liveness, readiness and metrics endpoints to a router.
func (s *Status) Mount(router gin.IRoutes, registry *prometheus.Registry) {
	router.GET(PathLive, func(c *gin.Context) { c.Status(http.StatusOK) })
	router.GET(PathReady, func(c *gin.Context) {
		ready, reason := s.State()
		code := http.StatusOK
		if !ready {
			code = http.StatusServiceUnavailable
		}
		c.JSON(code, readyReply{Ready: ready, Reason: reason})
	})
	router.GET(PathMetrics, gin.WrapH(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
}
