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
	minuteMS = 60_000
	// readBytes bounds one message of a call; an upload comes in many.
	readBytes = 8 << 20
	// neverCompress: packing small answers took an eighth of control's time under
	// load, and saves nothing that the short network between VMs needs.
	neverCompress = 1 << 30
)

// parts are what the process serves and runs.
type parts struct {
	members *fleet.LeaseTracker
	leases  *work.LeaseTracker
	vms     *platform.Poller
	handler http.Handler
}

func newParts(
	settings config.Config, now clock.Clock, logger log.Logger, set *metrics.Set, book *record.Log,
	status *health.Status, gs *groups,
) *parts {
	p := &parts{
		members: fleet.NewLeaseTracker(fleet.LeaseTrackerConfig{
			Fleet: gs.fleet, Clock: now, Logger: logger,
			Lease: clock.Millis(settings.Members.LeaseMS), ForgetAfter: clock.Millis(settings.Members.ForgetMS),
			ClaimRetention: clock.Millis(settings.Claims.KeepMS), RequestRetention: clock.Millis(settings.Operators.RequestsMS),
		}),
		leases: work.NewLeaseTracker(work.LeaseTrackerConfig{
			Groups: gs.jobs, Clock: now, Logger: logger, Lease: clock.Millis(settings.Jobs.LeaseMS),
			UploadRetention: clock.Millis(settings.Jobs.UploadMS), JobRetention: clock.Millis(settings.Jobs.RetentionMS),
		}),
	}
	if settings.Platform.VMListURL != "" {
		p.vms = platform.New(platform.Config{
			URL: settings.Platform.VMListURL, Interval: clock.Millis(settings.Platform.PollMS).Duration(),
			HTTP: &http.Client{}, Fleet: gs.fleet, Logger: logger, Refused: set.Refused,
		})
	}
	set.Registry.MustRegister(&counts{groups: gs})
	p.handler = p.routes(settings, now, set, book, status, gs)
	return p
}

func (p *parts) routes(
	settings config.Config, now clock.Clock, set *metrics.Set, book *record.Log, status *health.Status, gs *groups,
) http.Handler {
	refuser := group.Refuser{Refused: set.Refused}
	jobs := entry.New(entry.Config{
		Groups: gs.jobs, GroupCount: settings.Groups, Fleet: gs.fleet, Book: book, Refuser: refuser,
		MaxItems: settings.Jobs.MaxItems, ItemBytes: settings.Jobs.ItemBytes,
	})
	items := work.New(work.Config{
		Groups: gs.jobs, Fleet: gs.fleet, Leases: p.leases, Clock: now, Book: book, Refuser: refuser,
		Lease: clock.Millis(settings.Jobs.LeaseMS), ResultBytes: settings.Jobs.ResultBytes,
	})
	members := fleet.New(fleet.Config{
		Fleet: gs.fleet, Leases: p.members, Clock: now, Refuser: refuser,
		Groups: settings.Groups, Lease: clock.Millis(settings.Members.LeaseMS),
	})
	operators := operator.New(operator.Config{
		Fleet: gs.fleet, Jobs: gs.jobs, Entry: jobs, Leases: p.members, Clock: now, Log: book, Refuser: refuser,
		LoadInterval: loadInterval(settings),
		Replicas:     operator.Replicas{Name: settings.Name, Identity: gs.identity, Status: gs.status, Change: gs.change, TransferLeadership: gs.handover},
	})
	limit := connect.WithHandlerOptions(connect.WithReadMaxBytes(readBytes), connect.WithCompressMinBytes(neverCompress))
	mux := http.NewServeMux()
	mux.Handle(toucanhingev1connect.NewJobServiceHandler(jobs, limit))
	mux.Handle(toucanhingev1connect.NewWorkServiceHandler(items, limit))
	mux.Handle(toucanhingev1connect.NewFleetServiceHandler(members, limit))
	mux.Handle(toucanhingev1connect.NewOperatorServiceHandler(operators, limit))
	mux.Handle(toucanhingev1connect.NewExplainServiceHandler(book, limit))
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
	return clock.Millis(minuteMS / settings.Platform.LoadsPerMinute)
}
