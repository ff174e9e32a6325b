package app

import (
	"bufio"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
	"toucanhinge.example/schema/gen/toucanhinge/v1/toucanhingev1connect"
)

// streamTokens returns a run function that streams the given number of tokens without pauses.
func streamTokens(tokens int) runFunc {
	return func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frameBuilder{request: r}
		if err := out.Send(b.head(200, "text/event-stream")); err != nil {
			return err
		}
		text := chunk("chatcmpl-1", " token")
		for n := range tokens {
			if err := out.Send(b.data(uint64(n+1), text)); err != nil {
				return err
			}
		}
		return out.Send(b.end(uint64(tokens)))
	}
}

// BenchmarkToken measures the cost of one token from the fake sidecar through the gateway to the caller, which
// all run in this process.
func BenchmarkToken(b *testing.B) {
	sidecar := newSidecar(b, "e1", service)
	sidecar.run = streamTokens(b.N)
	g := startGateway(b, nil, sidecar)
	b.ReportAllocs()
	b.ResetTimer()
	resp := g.openStream(b, streamBody)
	defer func() { _ = resp.Body.Close() }()
	lines, events := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if len(lines.Bytes()) > 0 {
			events++
		}
	}
	require.Equal(b, b.N+1, events)
}

func (g *gateway) openStream(b *testing.B, body string) *http.Response {
	request, err := http.NewRequest(http.MethodPost, g.url+chatPath, strings.NewReader(body))
	require.NoError(b, err)
	request.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(request)
	require.NoError(b, err)
	return resp
}

// BenchmarkFirstToken compares the time to the first token through the gateway with that of a direct call to the
// sidecar. Both are measured alternately in one run.
func BenchmarkFirstToken(b *testing.B) {
	sidecar := newSidecar(b, "e1", service)
	sidecar.run = streamTokens(1)
	g := startGateway(b, nil, sidecar)
	client := toucanhingev1connect.NewEndpointServiceClient(web.NewClient(), "http://"+sidecar.server.Address(), connect.WithAcceptCompression("gzip", nil, nil))
	var mu sync.Mutex
	var through, direct []time.Duration
	record := func(list *[]time.Duration, start time.Time) {
		mu.Lock()
		defer mu.Unlock()
		*list = append(*list, time.Since(start))
	}
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		stream, err := client.Run(context.Background(), connect.NewRequest(&toucanhingev1.RunRequest{
			RequestId: "r", Attempt: 1, Stream: true, Method: http.MethodPost, Path: chatPath, Body: []byte(streamBody), BudgetMs: 1_000,
		}))
		require.NoError(b, err)
		for stream.Receive() && stream.Msg().GetData() == nil {
			continue
		}
		record(&direct, start)
		_ = stream.Close()
		start = time.Now()
		resp := g.openStream(b, streamBody)
		lines := bufio.NewScanner(resp.Body)
		require.True(b, lines.Scan())
		record(&through, start)
		for lines.Scan() {
			continue
		}
		_ = resp.Body.Close()
	}
	slices.Sort(through)
	slices.Sort(direct)
	percentile := func(list []time.Duration, fraction float64) float64 {
		return float64(list[int(float64(len(list)-1)*fraction)].Microseconds())
	}
	b.ReportMetric(percentile(through, 0.5)-percentile(direct, 0.5), "added-p50-us")
	b.ReportMetric(percentile(through, 0.99)-percentile(direct, 0.99), "added-p99-us")
}
