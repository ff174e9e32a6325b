// Package caller serves the teams: OpenAI-style calls to models, plain
// services, and batch jobs, over HTTP with JSON and server-sent events.
package caller

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/gateway/pkg/config"
	"toucanhinge.example/gateway/pkg/control"
	"toucanhinge.example/gateway/pkg/endpoint"
	"toucanhinge.example/gateway/pkg/limit"
	"toucanhinge.example/gateway/pkg/legacy"
	"toucanhinge.example/gateway/pkg/online"
)

// Config describes the callers' side.
type Config struct {
	Gateway string
	Limits  config.Limits
	// PrefixBytes of the prompt that choose its preferred endpoint; 0 is none.
	PrefixBytes int
	Clock       clock.Clock
	Fleet       func() *fleetconfig.Fleet
	Ready       func() bool
	Directory   *endpoint.Directory
	Runner      *online.Executor
	Legacy       *legacy.Forwarder
	Claims      *control.Claims
	Jobs        *control.Jobs
	Limiter     *limit.Limiter
	DecisionLog        *record.Log
	Metrics     *online.Metrics
	Logger      log.Logger
}

// Server holds the handlers of one gateway.
type Server struct {
	config  Config
	mu      sync.Mutex
	prefix  string
	counter atomic.Uint64
	// open counts requests from their first byte on, uploads and reads those of batch jobs.
	open    atomic.Int64
	uploads atomic.Int64
	leaving atomic.Bool
}

// New makes the handlers.
func New(config Config) *Server {
	return &Server{config: config, prefix: newPrefix(config.Gateway)}
}

// Drain asks callers to open their next connection elsewhere; what comes is
// still answered.
func (s *Server) Drain() {
	s.leaving.Store(true)
}

// Handler is the router of all callers' paths.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.HandleMethodNotAllowed = true
	router.Use(s.count)
	router.NoRoute(func(c *gin.Context) {
		s.refuse(c, refuse(http.StatusNotFound, reasonUnknownPath, "there is nothing at this path"))
	})
	router.NoMethod(func(c *gin.Context) {
		s.refuse(c, refuse(http.StatusMethodNotAllowed, reasonUnknownMethod, "the path does not take this method"))
	})
	router.POST("/v1/chat/completions", s.chat)
	router.POST("/v1/completions", s.completion)
	router.GET("/v1/models", s.models)
	router.Any("/svc/:name", s.plain)
	router.Any("/svc/:name/*path", s.plain)
	router.POST("/v1/batches", s.upload)
	router.GET("/v1/batches/:id", s.job)
	router.POST("/v1/batches/:id/cancel", s.cancel)
	router.GET("/v1/batches/:id/results", s.results)
	return router
}

// refuse answers at once and counts the reason.
func (s *Server) refuse(c *gin.Context, r *refusal) {
	s.config.Metrics.Set.Refused.WithLabelValues("caller", r.Reason).Inc()
	if c.Request.ContentLength != 0 && c.Request.ProtoMajor == 1 && !c.GetBool(bodyTaken) {
		leaveBody(c)
	}
	r.write(c)
}

// leaveBody keeps the library from reading the rest of a body before it sends a
// refusal: a slow sender without a key would hold its connection for as long as
// it likes, and hear nothing meanwhile.
func leaveBody(c *gin.Context) {
	c.Header("Connection", "close")
	control := http.NewResponseController(c.Writer)
	_ = control.EnableFullDuplex()
	_ = control.SetReadDeadline(time.Unix(1, 0))
}

// openFactor is how many more requests may be reading their bodies than running.
const openFactor = 2

// count bounds what slow senders can hold before any limit of a team applies.
func (s *Server) count(c *gin.Context) {
	if s.leaving.Load() {
		c.Header("Connection", "close")
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > int64(openFactor*s.config.Limits.MaxInFlight+s.config.Limits.MaxTransfers) {
		c.Abort()
		s.refuse(c, refuse(http.StatusServiceUnavailable, limit.ReasonGatewayFull, messages[limit.ReasonGatewayFull]).after(1_000))
		return
	}
	c.Next()
}
