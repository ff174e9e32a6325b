package failure

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/lab/pkg/caller"
	"toucanhinge.example/lab/pkg/fleet"
)

// Guards against callers who end a gateway by its memory: they send all but the last byte of large bodies and stay.
func TestUnendedBodiesStayWithinMemory(t *testing.T) {
	const (
		clients   = 120
		bodyBytes = 4 << 20
		// maxBytes is less than the clients send together.
		maxBytes = 256 << 20
	)
	f := startFleet(t, fleet.Config{Controls: 3, Gateways: 1, Sidecars: 1, PlainServices: 1})
	gateway := f.Gateways[0]
	head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", fleet.TeamKey, bodyBytes)
	text := head + strings.Repeat("0", bodyBytes-1)
	var senders sync.WaitGroup
	for range clients {
		conn, err := net.Dial("tcp4", gateway.Address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		senders.Go(func() { _, _ = io.WriteString(conn, text) })
	}
	senders.Wait()
	_, err := callerAt(f, 0).CallPlain(testContext(t), caller.PlainCall{Service: fleet.PlainService, Path: "/parcel", Body: "7", ID: "parcel-7"})
	require.NoError(t, err, "an ordinary call beside them")
	require.False(t, gateway.Process().Ended())
	usage, err := gateway.Process().Usage()
	require.NoError(t, err)
	t.Logf("%d MB at its peak", usage.PeakBytes>>20)
	require.Less(t, usage.PeakBytes, int64(maxBytes))
}
