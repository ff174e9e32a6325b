package batchrun

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Guards against a text that holds events of two software versions: an item whose call broke off continues at a runner of
// the version that wrote its text, or restarts.
func TestItemTextHoldsOneSoftwareVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		// versions are the software versions of the runners a, b and c.
		versions [3]string
		resumes  bool
	}{
		{"another runner of the version", [3]string{"v1", "v2", "v1"}, true},
		{"no other runner of the version", [3]string{"v1", "v2", "v3"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var lost *toucanhingev1.Runner
			f := start(t, func(n int, call runner.Call) (*runner.Answer, error) {
				if n == 0 {
					lost = call.Runner
					return ok(brokenBody(events(1, 2)))
				}
				return ok(completeBody(events(int(call.After)+1, 4)))
			})
			f.driver.config.Runners = func() []*toucanhingev1.Runner {
				var list []*toucanhingev1.Runner
				for i, id := range []string{"a", "b", "c"} {
					r := &toucanhingev1.Runner{Id: id, Service: "llm", DataCentre: "here", Slots: 1, Version: c.versions[i]}
					// The runner of the first call doesn't come back.
					if sent := f.sent(); len(sent) == 0 || sent[0].Runner.GetId() != id {
						list = append(list, r)
					}
				}
				return list
			}
			// The fastest free slot is at a, the next one at b.
			f.driver.config.Pace = func(id string) float64 { return map[string]float64{"a": 0.5, "b": 0.8, "c": 1.2}[id] }
			f.run()
			f.submit(1)
			completed, text := f.result()
			require.True(t, completed)
			require.Equal(t, "x1\nx2\nx3\nx4", text)
			sent := f.sent()
			require.Len(t, sent, 2)
			require.Equal(t, "a", lost.GetId())
			require.Equal(t, c.resumes, sent[1].Resume, "it continues at %s, or restarts", sent[1].Runner.GetVersion())
			if c.resumes {
				require.Equal(t, "v1", sent[1].Runner.GetVersion())
				require.Equal(t, uint64(2), sent[1].After)
			}
		})
	}
}
