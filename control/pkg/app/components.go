package app

import (
	"net/http"

	"connectrpc.com/connect"
	"github.com/gin-gonic/gin"
	"github.com/go-kit/log"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/health"
	"toucanhinge.example/common/pkg/metrics"
	"toucanhinge.example/common/pkg/record"
	"toucanhinge.example/control/pkg/config"
	"toucanhinge.example/control/pkg/entry"
	"toucanhinge.example/control/pkg/fleet"
	"toucanhinge.example/control/pkg/group"
	"toucanhinge.example/control/pkg/operator"
	"toucanhinge.example/control/pkg/platform"
	"toucanhinge.example/control/pkg/replica"
	"toucanhinge.example/control/pkg/work"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	minuteMillis = 60_000
	// maxMessageBytes is the maximum size of one message. An upload is a stream of
	// messages.
	maxMessageBytes = 8 << 20
	// compressMinBytes is above the size of every message, so that responses are never
	// compressed. Compressing small responses took an eighth of control's time under
	// load, and the short network between VMs doesn't need it.
	compressMinBytes = 1 << 30
)

// components holds the handler that the process serves and its background components.
type components struct {
	memberLeases *fleet.LeaseTracker
	itemLeases   *work.LeaseTracker
	vmPoller     *platform.Poller
	handler      http.Handler
}

func newComponents(
	settings config.Config, now clock.Clock, logger log.Logger, set *metrics.Set, decisionLog *record.Log,
	status *health.Status, gs *groups,
) *components {
	c := &components{
		memberLeases: fleet.NewLeaseTracker(fleet.LeaseTrackerConfig{
			Fleet: gs.fleet, Clock: now, Logger: logger,
			Lease: clock.Millis(settings.Members.LeaseMS), ForgetAfter: clock.Millis(settings.Members.ForgetMS),
			ClaimRetention: clock.Millis(settings.Claims.KeepMS), RequestRetention: clock.Millis(settings.Operators.RequestsMS),
		}),
		itemLeases: work.NewLeaseTracker(work.LeaseTrackerConfig{
			Groups: gs.jobs, Clock: now, Logger: logger, Lease: clock.Millis(settings.Jobs.LeaseMS),
			UploadRetention: clock.Millis(settings.Jobs.UploadMS), JobRetention: clock.Millis(settings.Jobs.RetentionMS),
		}),
	}
	if settings.Platform.VMListURL != "" {
		c.vmPoller = platform.New(platform.Config{
			URL: settings.Platform.VMListURL, Interval: clock.Millis(settings.Platform.PollMS).Duration(),
			Fleet: gs.fleet, Logger: logger, Refused: set.Refused,
		})
	}
	set.Registry.MustRegister(&stateCollector{groups: gs})
	c.handler = c.routes(settings, now, set, decisionLog, status, gs)
	return c
}

func (c *components) routes(
	settings config.Config, now clock.Clock, set *metrics.Set, decisionLog *record.Log, status *health.Status, gs *groups,
) http.Handler {
	refuser := group.Refuser{Refused: set.Refused}
	jobHandler := entry.New(entry.Config{
		Groups: gs.jobs, GroupCount: settings.Groups, Fleet: gs.fleet, Log: decisionLog, Refuser: refuser,
		MaxItems: settings.Jobs.MaxItems, ItemBytes: settings.Jobs.ItemBytes,
	})
	workHandler := work.New(work.Config{
		Groups: gs.jobs, Fleet: gs.fleet, Leases: c.itemLeases, Clock: now, Log: decisionLog, Refuser: refuser,
		Lease: clock.Millis(settings.Jobs.LeaseMS), ResultBytes: settings.Jobs.ResultBytes,
	})
	fleetHandler := fleet.New(fleet.Config{
		Fleet: gs.fleet, Leases: c.memberLeases, Clock: now, Refuser: refuser,
		Groups: settings.Groups, Lease: clock.Millis(settings.Members.LeaseMS),
	})
	operatorHandler := operator.New(operator.Config{
		Fleet: gs.fleet, Jobs: gs.jobs, Entry: jobHandler, Leases: c.memberLeases, Clock: now, Log: decisionLog, Refuser: refuser,
		LoadInterval: loadInterval(settings),
		Replicas:     operator.Replicas{Name: settings.Name, Identity: gs.identity, Status: gs.status, Change: gs.changeMember, TransferLeadership: gs.transferLeaderships},
	})
	limit := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(compressMinBytes))
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewJobServiceHandler(jobHandler, limit))
	mux.Handle(toucanhingev1connect.NewWorkServiceHandler(workHandler, limit))
	mux.Handle(toucanhingev1connect.NewFleetServiceHandler(fleetHandler, limit))
	mux.Handle(toucanhingev1connect.NewOperatorServiceHandler(operatorHandler, limit))
	mux.Handle(toucanhingev1connect.NewExplainServiceHandler(decisionLog, limit))
	mux.Handle(toucanhingev1connect.NewReplicaServiceHandler(replica.NewServer(gs.replicas)))
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	status.Mount(router, set.Registry)
	mux.Handle("/", router)
	return mux
}

func loadInterval(settings config.Config) clock.Millis {
	if settings.Platform.LoadsPerMinute == 0 {
		return 0
	}
	return clock.Millis(minuteMillis / settings.Platform.LoadsPerMinute)
}
