package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that an engine of other software continues, whatever the policy, and also as a last resort.
func TestAnswerContinuesAtItsSoftware(t *testing.T) {
	for _, policy := range []Policy{PolicyDefault, PolicyRandom, PolicyLeastLoaded, PolicyTwoChoices, PolicyAffinity} {
		for _, c := range []struct {
			name, software string
			continues      bool
			tried          []string
			want           []string
		}{
			{"a new request", "", false, nil, []string{"e00", "e01", "e02", "e03"}},
			{"its software", "v1", true, []string{"e00"}, []string{"e02"}},
			{"unknown software", "", true, nil, []string{"e03"}},
			{"no endpoint of its software is left", "v2", true, []string{"e01"}, []string{""}},
			{"software that is gone", "v0", true, nil, []string{""}},
		} {
			t.Run(string(policy)+", "+c.name, func(t *testing.T) {
				r := newRouter(policy)
				endpoints := newEndpoints(4)
				r.SetEndpoints(service, endpoints)
				for i, software := range []string{"v1", "v2", "v1", ""} {
					load := idleLoad()
					load.Software = software
					r.RecordLoad(1_000, endpoints[i].Name, load)
				}
				for range 20 {
					request := newRequest()
					request.Continues, request.Software, request.Tried = c.continues, c.software, c.tried
					require.Contains(t, c.want, r.Choose(1_000, request).Endpoint)
				}
			})
		}
	}
}
