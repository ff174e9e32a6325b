package digest

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/streamorigin"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a stream that can't be resumed at another gateway, whichever it is, at once after its first event.
func TestOriginIsFoundAtEveryGateway(t *testing.T) {
	f := newLoopbackFleet(t, 9)
	for n, began := range f.daemons {
		for k, takes := range f.daemons {
			key := streamorigin.KeyOf("", "r", fmt.Sprint(n, k))
			origin := streamorigin.Origin{Service: "llm", Version: fmt.Sprint("v", n)}
			began.RecordOrigin(key, origin, 5_000)
			finding := takes.FindOrigin(context.Background(), key)
			require.True(t, finding.Found, "%+v", finding)
			require.Equal(t, origin, finding.Origin)
		}
	}
}

// Guards against a caller that waits for gateways that don't answer: a stream nobody knows is given up at once if all
// say so, and soon if some are silent.
func TestUnknownOriginIsGivenUpSoon(t *testing.T) {
	f := newLoopbackFleet(t, 6)
	key := streamorigin.KeyOf("", "r", "never begun")
	startedAt := time.Now()
	finding := f.daemons[0].FindOrigin(context.Background(), key)
	require.False(t, finding.Found)
	require.Equal(t, finding.Asked, finding.Answered)
	require.Less(t, time.Since(startedAt), originQueryInterval*originQueryRounds)

	silent, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	f.daemons[0].SetPeers([]Peer{{Address: silent.LocalAddr().String(), DataCentre: "dc0"}})
	startedAt = time.Now()
	finding = f.daemons[0].FindOrigin(context.Background(), key)
	require.Equal(t, OriginFinding{Asked: 1}, finding)
	require.Less(t, time.Since(startedAt), time.Second)

	f.daemons[0].SetPeers(nil)
	startedAt = time.Now()
	require.Equal(t, OriginFinding{}, f.daemons[0].FindOrigin(context.Background(), key))
	require.Less(t, time.Since(startedAt), originQueryInterval, "a gateway without others doesn't wait for them")
}

// Guards against a record that is still on its way when the stream is resumed.
func TestLateRecordIsFound(t *testing.T) {
	f := newLoopbackFleet(t, 6)
	key := streamorigin.KeyOf("", "r", "late")
	time.AfterFunc(originQueryInterval/2, func() {
		f.daemons[1].RecordOrigin(key, streamorigin.Origin{Service: "llm", Version: "v1"}, 5_000)
	})
	require.True(t, f.daemons[0].FindOrigin(context.Background(), key).Found)
}

// The bytes of the datagram that tells one holder of one stream.
func BenchmarkOriginDatagram(b *testing.B) {
	key := streamorigin.KeyOf("", "r", "attempt")
	record := &toucanhingev1.StreamOrigin{Key: key[:], Service: "servitudes-llm", Version: "v1.2", LeftMs: 7_000}
	for range b.N {
		data, err := proto.Marshal(&toucanhingev1.LoadDigest{Source: "gateway-hay-riad-1", Streams: &toucanhingev1.StreamOrigins{Known: []*toucanhingev1.StreamOrigin{record}}})
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
