package fleetstate

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

func dataCentre(name string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: name, Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{}},
	}
}

func link(name, from, to string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_LINK, Name: name, Body: &toucanhingev1.Entry_Link{Link: &toucanhingev1.Link{From: from, To: to}},
	}
}

func service(name string, v *toucanhingev1.Service) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{Service: v}}
}

func team(name string, d *toucanhingev1.TeamRecord) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_TEAM, Name: name, Body: &toucanhingev1.Entry_Team{Team: d}}
}

func contract(name string, c *toucanhingev1.Contract) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: name, Body: &toucanhingev1.Entry_Contract{Contract: c}}
}

func order(name string, o *toucanhingev1.Order) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_ORDER, Name: name, Body: &toucanhingev1.Entry_Order{Order: o}}
}

func drain(name string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_DRAIN, Name: name, Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{}}}
}

func removal(kind toucanhingev1.Kind, name string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{Kind: kind, Name: name, Removed: true}
}

func model(name string) *toucanhingev1.Service {
	return &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_MODEL, Model: name}
}

// newTestState returns a state with a small configuration.
func newTestState(t *testing.T) *State {
	s := New()
	hash := strings.Repeat("a", 64)
	for i, e := range []*toucanhingev1.Entry{
		dataCentre("agdal"), dataCentre("temara"), link("agdal-temara", "agdal", "temara"), service("servitudes-llm", model("m")),
		team("agence", &toucanhingev1.TeamRecord{KeyHashes: []string{hash}}),
		contract("agence-servitudes", &toucanhingev1.Contract{Team: "agence", Service: "servitudes-llm", DataCentres: []string{"agdal"}}),
	} {
		response := s.apply(&toucanhingev1.ApplyStep{Request: &toucanhingev1.ApplyRequest{RequestId: fmt.Sprint(i), Entry: e}}).(*toucanhingev1.ApplyResponse)
		require.True(t, response.GetAccepted(), response.GetReason())
	}
	s.member(&toucanhingev1.MemberStep{Name: "s1", Member: &toucanhingev1.Member{
		Role: toucanhingev1.Role_ROLE_SIDECAR, Vm: "vm1", DataCentre: "temara", Incarnation: 1, State: toucanhingev1.MemberState_MEMBER_STATE_READY,
	}})
	return s
}

// TestApplyValidatesChanges requests one change in each scenario. An empty reason means
// that the change must be accepted.
func TestApplyValidatesChanges(t *testing.T) {
	plain := toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN
	hash, other := strings.Repeat("a", 64), strings.Repeat("b", 64)
	load := toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL
	scenarios := []struct {
		name   string
		entry  *toucanhingev1.Entry
		reason string
	}{
		{"no entry", nil, "entry: missing"},
		{"no kind", &toucanhingev1.Entry{Name: "x"}, "does not fit the kind"},
		{"unknown kind", &toucanhingev1.Entry{Kind: 99, Name: "x"}, "does not fit the kind"},
		{"no body", &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_TEAM, Name: "x"}, "does not fit the kind"},
		{"body of another kind", &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_TEAM, Name: "x", Body: &toucanhingev1.Entry_Drain{}}, "does not fit the kind"},
		{"empty name", dataCentre(""), "name:"},
		{"name with a slash", dataCentre("a/b"), "name:"},
		{"name with capital letters", dataCentre("Agdal"), "name:"},
		{"name too long", dataCentre(strings.Repeat("a", 64)), "name:"},
		{"region too long", &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: "x", Body: &toucanhingev1.Entry_DataCentre{
			DataCentre: &toucanhingev1.DataCentre{Region: strings.Repeat("a", 1025)},
		}}, "region"},
		{"new data centre", dataCentre("hay-riad"), ""},
		{"link to itself", link("x", "agdal", "agdal"), "both"},
		{"link to unknown data centre", link("x", "agdal", "nowhere"), `no data centre "nowhere"`},
		{"second link in the opposite direction", link("x", "temara", "agdal"), "joins the same"},
		{"service without kind", service("x", &toucanhingev1.Service{Model: "x"}), "kind is missing"},
		{"model service without model", service("x", model("")), "model name is missing"},
		{"plain service with model", service("x", &toucanhingev1.Service{Kind: plain, Model: "x"}), "no model"},
		{"older_percent above 100", service("x", &toucanhingev1.Service{Kind: plain, OlderPercent: 101, OlderUrl: "http://o"}), "0 to 100"},
		{"older_percent without older_url", service("x", &toucanhingev1.Service{Kind: plain, OlderPercent: 5}), "needs an older_url"},
		{"older_url without http scheme", service("x", &toucanhingev1.Service{Kind: plain, OlderUrl: "ftp://o"}), "no http URL"},
		{"batch_weight above 100", service("x", &toucanhingev1.Service{Kind: plain, BatchWeight: 101}), "0 to 100"},
		{"too many attempts", service("x", &toucanhingev1.Service{Kind: plain, ItemAttempts: 21}), "above 20"},
		{"model of another service", service("x", model("m")), "belongs to"},
		{"plain service", service("x", &toucanhingev1.Service{Kind: plain}), ""},
		{"negative rate", team("x", &toucanhingev1.TeamRecord{Rate: -1}), "no rate"},
		{"NaN rate", team("x", &toucanhingev1.TeamRecord{Rate: math.NaN()}), "no rate"},
		{"key in plain text", team("x", &toucanhingev1.TeamRecord{KeyHashes: []string{"secret"}}), "64 digits"},
		{"key of another team", team("x", &toucanhingev1.TeamRecord{KeyHashes: []string{hash}}), `team "agence"`},
		{"key listed twice", team("x", &toucanhingev1.TeamRecord{KeyHashes: []string{other, other}}), `team "x"`},
		{"weight above 1000", team("x", &toucanhingev1.TeamRecord{Weight: 1001}), "above 1000"},
		{"new team", team("x", &toucanhingev1.TeamRecord{KeyHashes: []string{other}}), ""},
		{"contract without team", contract("x", &toucanhingev1.Contract{Team: "nobody", Service: "servitudes-llm"}), `no team "nobody"`},
		{"contract without service", contract("x", &toucanhingev1.Contract{Team: "agence", Service: "nothing"}), `no service "nothing"`},
		{"second contract", contract("x", &toucanhingev1.Contract{Team: "agence", Service: "servitudes-llm"}), "already joins"},
		{"order not named after its endpoint", order("s2", &toucanhingev1.Order{Endpoint: "s1", Kind: load, Model: "m"}), "endpoint's"},
		{"order to unknown endpoint", order("s2", &toucanhingev1.Order{Endpoint: "s2", Kind: load, Model: "m"}), "no endpoint"},
		{"order without model", order("s1", &toucanhingev1.Order{Endpoint: "s1", Kind: load}), "lacks what"},
		{"order without kind", order("s1", &toucanhingev1.Order{Endpoint: "s1"}), "lacks what"},
		{"order", order("s1", &toucanhingev1.Order{Endpoint: "s1", Kind: load, Model: "m"}), ""},
		{"drain of unknown VM", drain("vm9"), "no member and no VM"},
		{"drain of a VM", drain("vm1"), ""},
		{"drain of a member", drain("s1"), ""},
		{"member written by an operator", &toucanhingev1.Entry{Kind: toucanhingev1.Kind_KIND_MEMBER, Name: "s9", Body: &toucanhingev1.Entry_Member{}}, "register themselves"},
		{"removal of a linked data centre", removal(toucanhingev1.Kind_KIND_DATA_CENTRE, "agdal"), "refers to it"},
		{"removal of a data centre with members", removal(toucanhingev1.Kind_KIND_DATA_CENTRE, "temara"), "refers to it"},
		{"removal of a service with a contract", removal(toucanhingev1.Kind_KIND_SERVICE, "servitudes-llm"), "refers to it"},
		{"removal of a team with a contract", removal(toucanhingev1.Kind_KIND_TEAM, "agence"), "refers to it"},
		{"removal of unknown team", removal(toucanhingev1.Kind_KIND_TEAM, "nobody"), "no such entry"},
		{"removal of a live member", removal(toucanhingev1.Kind_KIND_MEMBER, "s1"), "still sends heartbeats"},
		{"removal of a contract", removal(toucanhingev1.Kind_KIND_CONTRACT, "agence-servitudes"), ""},
	}
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			s := newTestState(t)
			request := &toucanhingev1.ApplyRequest{RequestId: "x", Entry: c.entry}
			if current, found := s.Entry(c.entry.GetKind(), c.entry.GetName()); found {
				request.BaseVersion = current.GetVersion()
			}
			response := s.apply(&toucanhingev1.ApplyStep{Request: request}).(*toucanhingev1.ApplyResponse)
			require.Equal(t, c.reason == "", response.GetAccepted(), response.GetReason())
			require.Contains(t, response.GetReason(), c.reason)
		})
	}
}

// TestPlatformDrainAndUndrain reports a VM as leaving and as live again. The platform's
// list must not end a drain that an operator created.
func TestPlatformDrainAndUndrain(t *testing.T) {
	s := newTestState(t)
	report := func(vm string, gone bool) bool {
		return s.platformDrain(&toucanhingev1.PlatformDrainStep{Vm: vm, Gone: gone}).(MemberEndResult).Changed
	}
	require.True(t, report("vm1", false))
	require.False(t, report("vm1", false))
	require.True(t, s.Fleet().Drained("s1", "vm1"))
	require.True(t, report("vm1", true))
	require.False(t, s.Fleet().Drained("s1", "vm1"))
	s.put(drain("vm1"))
	require.False(t, report("vm1", true))
	require.True(t, s.Fleet().Drained("s1", "vm1"))
}
