package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/streamorigin"
)

// resume requests the rest of a stream after its first event.
func (f *fixture) resume(path, resumes string) (status int, text string) {
	f.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url+path, nil)
	require.NoError(f.t, err)
	request.Header.Set("After", "1")
	request.Header.Set("Resumes", resumes)
	response, err := f.client.Do(request)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response.StatusCode, string(body)
}

// knowOrigin records that an attempt on the resumable route began a stream.
func (f *fixture) knowOrigin(team, attempt string, origin streamorigin.Origin) {
	f.server.config.Exchange.RecordOrigin(streamorigin.KeyOf(team, "team/resumable/", attempt), origin, 5_000)
}

// ageVersions makes the server believe that its table and list have been the same for long.
func (f *fixture) ageVersions() { f.ageVersionsBy(3_600_000) }

// ageVersionsBy makes the server believe that its table and list have been the same for some time.
func (f *fixture) ageVersionsBy(span clock.Millis) {
	f.server.config.Clock = clock.FromFunc(func() clock.Millis { return clock.System().Now() + span })
	f.server.config.Boot = f.server.config.Clock
}

// Guards against a stream that goes on at another software version because the route's time limit is shorter than its caller
// waits, or was lowered since it began: the version that began it left a few seconds ago.
func TestStreamIsNotResumedByShortTimeLimit(t *testing.T) {
	f := start(t, reply{text: "id: 2\ndata: b\n\n"})
	require.EqualValues(t, 1_000, f.server.Table().Wire().GetRoutes()[0].GetTimeLimitMs())
	f.setVersions(map[string]string{"a": "v1", "b": "v2"})
	f.ageVersions()
	f.setVersions(map[string]string{"b": "v2"})
	f.ageVersionsBy(3_600_000 + 4_500)
	f.server.ConfirmFleet(f.server.config.Boot.Now())
	status, text := f.resume("/resumable/x", "first")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, text, ReasonUnknownStream)
	require.Empty(t, f.sent())
}

// Guards against a caller's stream that continues although nobody knows for certain at which software version it began, and
// against one of another team, route or service that is joined.
func TestStreamIsResumedOnlyIfItsOriginIsCertain(t *testing.T) {
	llm1 := streamorigin.Origin{Service: "llm", Version: "v1"}
	one, two := map[string]string{"a": "v1", "b": "v1"}, map[string]string{"a": "v1", "b": "v2"}
	for _, c := range []struct {
		name     string
		versions map[string]string
		path     string
		resumes  string
		// known are the origins by attempt, team the team of their records.
		known map[string]streamorigin.Origin
		team  string
		// old is set if table and list have been the same for long, fresh if the list was confirmed lately.
		old, fresh bool
		// reason is that of the refusal, empty if the stream continues at v1.
		reason string
	}{
		{"its origin is recorded", two, "/resumable/x", "first", map[string]streamorigin.Origin{"first": llm1}, "", false, false, ""},
		{"the origin of another attempt is recorded", two, "/resumable/x", "first", map[string]streamorigin.Origin{"other": llm1}, "", true, true, ReasonUnknownStream},
		{"it is another team's", two, "/resumable/x", "first", map[string]streamorigin.Origin{"first": llm1}, "other", true, true, ReasonUnknownStream},
		{"it is another route's", two, "/stream/x", "first", map[string]streamorigin.Origin{"first": llm1}, "", true, true, ReasonUnknownStream},
		{"it began at another service", two, "/resumable/x", "first", map[string]streamorigin.Origin{"first": {Service: "other", Version: "v1"}}, "", true, true, ReasonStreamMoved},
		{"its version has no runner", two, "/resumable/x", "first", map[string]streamorigin.Origin{"first": {Service: "llm", Version: "v0"}}, "", true, true, ReasonNoVersion},
		{"the caller names no attempt, two versions", two, "/resumable/x", "", nil, "", true, true, ReasonUnknownStream},
		{"the caller names no attempt, one version for long", one, "/resumable/x", "", nil, "", true, true, ""},
		{"nobody knows, one version for long", one, "/resumable/x", "first", nil, "", true, true, ""},
		{"nobody knows, one version for a short time", one, "/resumable/x", "first", nil, "", false, true, ReasonUnknownStream},
		{"nobody knows, one version on an old list", one, "/resumable/x", "first", nil, "", true, false, ReasonUnknownStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, reply{text: "id: 2\ndata: b\n\n"})
			f.setVersions(c.versions)
			if c.old {
				f.ageVersions()
			}
			for attempt, origin := range c.known {
				f.knowOrigin(c.team, attempt, origin)
			}
			if c.fresh {
				f.server.ConfirmFleet(f.server.config.Boot.Now())
			}
			startedAt := time.Now()
			status, text := f.resume(c.path, c.resumes)
			require.Less(t, time.Since(startedAt), 500*time.Millisecond, "a refusal must not wait for the timeout")
			if c.reason != "" {
				require.Equal(t, http.StatusServiceUnavailable, status, text)
				require.Contains(t, text, `"`+c.reason+`"`)
				require.Empty(t, f.sent(), "it must not have run")
				return
			}
			require.Equal(t, http.StatusOK, status, text)
			sent := f.sent()
			require.Len(t, sent, 1)
			require.Equal(t, "v1", sent[0].Runner.GetVersion())
			require.True(t, sent[0].Resume)
		})
	}
}

// Guards against streams that are refused, or wait behind new requests, while all slots of their software version are taken:
// a new request may begin elsewhere.
func TestResumedStreamGoesBeforeWaitingRequests(t *testing.T) {
	f := start(t, reply{text: "id: 2\ndata: b\n\n"})
	f.setVersions(map[string]string{"a": "v1", "b": "v2", "c": "v2"})
	f.knowOrigin("", "first", streamorigin.Origin{Service: "llm", Version: "v1"})
	f.server.config.Exchange.Add("a", occupancy.Load{Online: 2})
	status, text := f.resume("/resumable/x", "first")
	require.Equal(t, http.StatusOK, status, text)
	require.Equal(t, "a", f.sent()[0].Runner.GetId())
}

// Guards against a stream that loses its origin when it is resumed twice: both times the caller names the attempt of the
// first event, and this gateway isn't the one that began it.
func TestStreamIsResumedTwice(t *testing.T) {
	f := start(t, reply{text: "id: 2\ndata: b\n\n", fails: true}, reply{err: errConnReset}, reply{text: "id: 3\ndata: c\n\n"})
	f.setVersions(map[string]string{"a": "v1", "b": "v2", "c": "v1", "d": "v2"})
	f.knowOrigin("", "first", streamorigin.Origin{Service: "llm", Version: "v1"})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, f.url+"/resumable/x", nil)
	require.NoError(t, err)
	request.Header.Set("After", "1")
	request.Header.Set("Resumes", "first")
	response, err := f.client.Do(request)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.Error(t, err, "the second break is the caller's to continue")
	require.NoError(t, response.Body.Close())
	require.Equal(t, "id: 2\ndata: b\n\n", string(text))
	request.Header.Set("After", "2")
	response, err = f.client.Do(request)
	require.NoError(t, err)
	text, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, "id: 3\ndata: c\n\n", string(text))
	for _, call := range f.sent() {
		require.Equal(t, "v1", call.Runner.GetVersion())
	}
}

// Guards against an answer that waits for its timeout although no runner of its software version is left.
func TestAnswerWithoutRunnerOfItsVersionEndsAtOnce(t *testing.T) {
	f := start(t, reply{text: "id: 1\ndata: a\n\n", fails: true}, reply{err: errConnReset})
	f.setVersions(map[string]string{"a": "v1", "b": "v2", "c": "v3"})
	f.server.config.Exchange.Add("b", occupancy.Load{Online: 2})
	f.server.config.Exchange.Add("c", occupancy.Load{Online: 2})
	startedAt := time.Now()
	_, text, _, err := f.get("/resumable/x", 0)
	require.Error(t, err, "the answer must not look complete")
	require.Equal(t, "id: 1\ndata: a\n\n", text)
	require.Less(t, time.Since(startedAt), 500*time.Millisecond)
	for _, call := range f.sent() {
		require.Equal(t, "a", call.Runner.GetId())
	}
}
