package systemstate

import (
	"toucanhinge.example/common/pkg/routing"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Quota is the token quota that applies to a job.
type Quota struct {
	Route routing.Route
	Team  string
	// Missing is the number of waiting tokens by which the job exceeds the quota; not above 0 if it
	// fits.
	Missing int64
}

// QuotaOf returns the token quota that applies to a job; found is false if there is none.
func (s *State) QuotaOf(request *toucanhingev1.SubmitJobRequest) (quota Quota, found bool) {
	route, found := s.findBatchRoute(request.GetHost(), request.GetTarget())
	team, allowed := s.authorizeJob(route, found, request.GetKey())
	if !found || !allowed || route.QuotaTokens <= 0 {
		return Quota{}, false
	}
	return Quota{Route: route, Team: team, Missing: s.WaitingTokens(route, team) + sumTokens(request) - route.QuotaTokens}, true
}
