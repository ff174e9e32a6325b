// Package caller implements the HTTP API for teams: OpenAI-compatible requests to models, requests to plain
// services, and batch jobs, with JSON and server-sent events.
package caller

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/gateway/pkg/config"
	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/intake"
	"toucanhinge.example/gateway/pkg/legacy"
	"toucanhinge.example/gateway/pkg/limit"
	"toucanhinge.example/gateway/pkg/online"
)

// Config configures a Server.
type Config struct {
	Gateway string
	Limits  config.Limits
	// PrefixBytes is the length of the prompt prefix that determines the preferred endpoint; 0 turns this off.
	PrefixBytes int
	Clock       clock.Clock
	Fleet       func() *fleetconfig.Fleet
	Ready       func() bool
	Directory   *endpoint.Directory
	Executor    *online.Executor
	Legacy      *legacy.Forwarder
	Claims      *control.Claims
	Jobs        *control.Jobs
	Limiter     *limit.Limiter
	// Memory limits the bodies of all requests together.
	Memory      *intake.Memory
	DecisionLog *record.Log
	Metrics     *online.Metrics
	Logger      log.Logger
}

// Server handles the requests of callers to one gateway.
type Server struct {
	config    Config
	mu        sync.Mutex
	idPrefix  string
	idCounter atomic.Uint64
	// openRequests counts all requests, including those whose bodies are still being read; transfers counts
	// batch uploads and result reads.
	openRequests atomic.Int64
	transfers    atomic.Int64
	draining     atomic.Bool
}

// New returns a Server.
func New(config Config) *Server {
	return &Server{config: config, idPrefix: newIDPrefix(config.Gateway)}
}

// Drain makes all further responses close their connections, so that callers open the next ones to other
// gateways. Requests are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Handler returns the router for all paths.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(s.limitOpenRequests)
	router.NoRoute(func(c *gin.Context) {
		s.refuse(c, newRefusal(http.StatusNotFound, reasonUnknownPath, "there is nothing at this path"))
	})
	router.NoMethod(func(c *gin.Context) {
		s.refuse(c, newRefusal(http.StatusMethodNotAllowed, reasonUnknownMethod, "the path does not take this method"))
	})
	router.POST("/v1/chat/completions", s.serveChat)
	router.POST("/v1/completions", s.serveCompletion)
	router.GET("/v1/models", s.listModels)
	router.Any("/svc/:name", s.servePlain)
	router.Any("/svc/:name/*path", s.servePlain)
	router.POST("/v1/batches", s.uploadJob)
	router.GET("/v1/batches/:id", s.getJob)
	router.POST("/v1/batches/:id/cancel", s.cancelJob)
	router.GET("/v1/batches/:id/results", s.readResults)
	return router
}

// refuse sends a refusal and counts its reason.
func (s *Server) refuse(c *gin.Context, r *refusal) {
	s.config.Metrics.Set.Refused.WithLabelValues("caller", r.Reason).Inc()
	if c.Request.ContentLength != 0 && c.Request.ProtoMajor == 1 && !c.GetBool(keyBodyRead) {
		skipUnreadBody(c)
	}
	r.write(c)
}

// skipUnreadBody keeps net/http from reading the rest of the body before it sends a refusal. Otherwise a slow
// sender without a valid key could hold its connection indefinitely, and would not get the refusal meanwhile.
func skipUnreadBody(c *gin.Context) {
	c.Header("Connection", "close")
	control := http.NewResponseController(c.Writer)
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Unix(1, 0))
}

// openRequestsFactor is the ratio of open requests, whose bodies may still be being read, to running requests.
const openRequestsFactor = 2

// limitOpenRequests bounds the connections and buffers that slow senders can hold before the limits of a team
// apply.
func (s *Server) limitOpenRequests(c *gin.Context) {
	if s.draining.Load() {
		c.Header("Connection", "close")
	}
	defer s.openRequests.Add(-1)
	if s.openRequests.Add(1) > int64(openRequestsFactor*s.config.Limits.MaxInFlight+s.config.Limits.MaxTransfers) {
		c.Abort()
		s.refuse(c, newRefusal(http.StatusServiceUnavailable, limit.ReasonGatewayFull,
			reasonMessages[limit.ReasonGatewayFull]).withRetryAfter(1_000))
		return
	}
	c.Next()
}
