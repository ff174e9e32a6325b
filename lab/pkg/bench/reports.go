package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanhinge.example/lab/pkg/fleet"
	"toucanhinge.example/lab/pkg/process"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

const (
	reportCalls = 4_000
	reportEvery = time.Millisecond
)

var reportsExperiment = Experiment{
	Name:    "reports",
	Description:   "CPU and bytes of one load report, asked for over a connection that is kept",
	Figures: []string{"report.sidecar.us", "report.caller.us", "report.bytes"},
	Run:     runReports,
}

func runReports(ctx context.Context, b *Bench) error {
	f, err := b.fleet(ctx, fleet.Config{Controls: 1, Gateways: 1, Sidecars: 1})
	if err != nil {
		return err
	}
	defer b.end(f)
	for range b.Config.Runs {
		if err := b.reportsRun(ctx, f.Sidecars[0]); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bench) reportsRun(ctx context.Context, sidecar *fleet.Node) error {
	counter := &countingDialer{}
	client := toucanhingev1connect.NewEndpointServiceClient(counter.client(), "http://"+sidecar.Address)
	if err := askReport(ctx, client); err != nil {
		return err
	}
	sidecarBefore, callerBefore, err := reportUsages(sidecar)
	if err != nil {
		return err
	}
	bytes := counter.bytes.Load()
	for range reportCalls {
		if err := askReport(ctx, client); err != nil {
			return err
		}
		time.Sleep(reportEvery)
	}
	sidecarAfter, callerAfter, err := reportUsages(sidecar)
	if err != nil {
		return err
	}
	b.add("report.sidecar.us", (sidecarAfter-sidecarBefore).Seconds()*processorUS/reportCalls)
	b.add("report.caller.us", (callerAfter-callerBefore).Seconds()*processorUS/reportCalls)
	b.add("report.bytes", float64(counter.bytes.Load()-bytes)/reportCalls)
	return nil
}

func askReport(ctx context.Context, client toucanhingev1connect.EndpointServiceClient) error {
	request := connect.NewRequest(&toucanhingev1.ReportRequest{Gateway: "gateway-1"})
	if _, err := client.Report(ctx, request); err != nil {
		return fmt.Errorf("ask for a report: %w", err)
	}
	return nil
}

func reportUsages(sidecar *fleet.Node) (there, here time.Duration, err error) {
	usage, err := usages([]*fleet.Node{sidecar})
	if err != nil {
		return 0, 0, err
	}
	own, err := process.ReadUsage(os.Getpid())
	if err != nil {
		return 0, 0, fmt.Errorf("own usage: %w", err)
	}
	return usage[0].CPUTime, own.CPUTime, nil
}

// countingDialer counts what goes over its connections, both ways.
type countingDialer struct {
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (d *countingDialer) client() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		Protocols: protocols,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial the sidecar: %w", err)
			}
			return countingConn{Conn: conn, bytes: &d.bytes}, nil
		},
	}}
}
