package forward

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// setVersions sets runners with the given software versions by their IDs.
func (f *fixture) setVersions(versions map[string]string) {
	var runners []*toucanhingev1.Runner
	for id, version := range versions {
		runners = append(runners, &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: "here", Slots: 2, Version: version})
	}
	f.server.SetRunners(runners, 1)
}

// Guards against an answer that continues at a runner of another software version than the one that began it, although
// a runner of that version is free.
func TestStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	for range 20 {
		f := start(t, reply{text: "id: 1\ndata: a\n\n", fails: true}, reply{text: "id: 2\ndata: b\n\n"})
		f.setVersions(map[string]string{"a": "v1", "b": "v2", "c": "v1", "d": "v2", "e": "v3", "f": "v3"})
		status, text, _, err := f.get("/resumable/x", 0)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", text)
		sent := f.sent()
		require.Len(t, sent, 2)
		require.Equal(t, sent[0].Runner.GetVersion(), sent[1].Runner.GetVersion())
		require.NotEqual(t, sent[0].Runner.GetId(), sent[1].Runner.GetId())
	}
}

// Guards against a stream that is cut off because of a pause: only a runner of another software version has a free slot, and
// the call that pauses is the only one that can bring the next event.
func TestPausingStreamIsKeptIfOnlyAnotherVersionIsFree(t *testing.T) {
	f := start(t, reply{text: "id: 1\ndata: a\n\n", hangs: true}, reply{text: "id: 2\ndata: b\n\n"})
	f.setVersions(map[string]string{"a": "v1", "b": "v2"})
	_, text, _, err := f.get("/resumable/x", 600)
	require.Error(t, err, "the answer ends with the caller's time")
	require.Equal(t, "id: 1\ndata: a\n\n", text)
	require.Len(t, f.sent(), 1, "the call was ended although no other runner can continue the stream")
}

// Guards against events of another software version that reach the caller if the selection of a runner fails to regard it.
func TestEventsOfAnotherVersionAreNotForwarded(t *testing.T) {
	f := start(t, reply{text: "id: 1\ndata: a\n\n", fails: true}, reply{text: "id: 2\ndata: b\n\n"})
	// A runner whose version is unknown binds the selection to no version.
	f.setVersions(map[string]string{"a": ""})
	f.server.config.Client.Open = func(ctx context.Context, call runner.Call) (*runner.Answer, error) {
		answer, err := f.open(ctx, call)
		f.setVersions(map[string]string{"b": "v2"})
		return answer, err
	}
	_, text, _, err := f.get("/resumable/x", 0)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", text)
}
