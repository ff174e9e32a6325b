package admit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func newTestMachine(change func(*Config)) *Machine {
	config := Config{
		Policy: Yield, Slots: 4, MinSlots: 1, QueueLimit: 4, BatchSlots: 4, MaxPrefillTokens: 100, BatchWeight: 100,
		BurstWindow: 50, BurstHalfLife: 1_000,
	}
	if change != nil {
		change(&config)
	}
	return New(config)
}

// stepAll applies the events at the same time and returns all actions.
func stepAll(m *Machine, now clock.Millis, events ...Event) []Action {
	var all []Action
	for _, e := range events {
		all = append(all, m.Step(now, e)...)
	}
	return all
}

func idsWithVerb(actions []Action, verb Verb) []ID {
	var ids []ID
	for _, a := range actions {
		if a.Verb == verb {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

func arrivals(team string, deadline clock.Millis, ids ...ID) []Event {
	var events []Event
	for _, id := range ids {
		events = append(events, Arrive{ID: id, Team: team, Deadline: deadline})
	}
	return events
}

func offers(ids ...ID) []Event {
	var events []Event
	for _, id := range ids {
		events = append(events, Offer{ID: id, PrefillTokens: 1})
	}
	return events
}

// Batch fills an idle engine. Two online requests arrive: the two newest items are
// suspended at once, and each request starts as soon as a slot is confirmed
// free. The items are resumed when the requests end.
func TestBatchItemsYieldToOnlineAndResume(t *testing.T) {
	m := newTestMachine(nil)
	require.Equal(t, []ID{1, 2, 3, 4}, idsWithVerb(stepAll(m, 0, offers(1, 2, 3, 4)...), Start))
	actions := stepAll(m, 10, arrivals("d", 1_000, 10, 11)...)
	require.Equal(t, []ID{4, 3}, idsWithVerb(actions, Suspend))
	require.Empty(t, idsWithVerb(actions, Start), "a start before the slot is confirmed free would queue at the engine")
	require.Equal(t, []ID{10}, idsWithVerb(stepAll(m, 12, Suspended{ID: 4}), Start))
	require.Equal(t, []ID{11}, idsWithVerb(stepAll(m, 12, Suspended{ID: 3}), Start))
	require.Equal(t, []ID{4}, idsWithVerb(stepAll(m, 100, Finished{ID: 10, Complete: true}), Resume))
	require.Equal(t, uint64(2), m.Snapshot(100).Stats.Yields)
}

func TestRefusalReasons(t *testing.T) {
	full := func() *Machine {
		m := newTestMachine(func(c *Config) { c.Slots, c.QueueLimit = 1, 2 })
		stepAll(m, 0, arrivals("d", 10_000, 1)...)
		return m
	}
	measured := func() *Machine {
		m := full()
		stepAll(m, 100, Finished{ID: 1, Complete: true})
		stepAll(m, 100, arrivals("d", 10_000, 2)...)
		return m
	}
	scenarios := []struct {
		name    string
		machine *Machine
		before  []Event
		event   Event
		want    Reason
	}{
		{"queue full", full(), arrivals("d", 10_000, 2, 3), Arrive{ID: 4, Team: "d", Deadline: 10_000}, ReasonQueueFull},
		{"deadline passed", full(), nil, Arrive{ID: 4, Deadline: 50}, ReasonDeadline},
		{"deadline before expected answer", measured(), nil, Arrive{ID: 4, Deadline: 250}, ReasonDeadline},
		{"deadline after expected answer", measured(), nil, Arrive{ID: 4, Deadline: 400}, ""},
		{"draining", full(), []Event{Drain{}}, Arrive{ID: 4, Deadline: 10_000}, ReasonLeaving},
		{"unhealthy", full(), []Event{Gate{Reason: ReasonUnhealthy}}, Arrive{ID: 4, Deadline: 10_000}, ReasonUnhealthy},
		{"loading", full(), []Event{Gate{Reason: ReasonLoading}}, Arrive{ID: 4, Deadline: 10_000}, ReasonLoading},
		{"duplicate", full(), nil, Arrive{ID: 1, Deadline: 10_000}, ReasonDuplicate},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			stepAll(s.machine, 100, s.before...)
			actions := stepAll(s.machine, 100, s.event)
			if s.want == "" {
				require.Empty(t, actions)
				return
			}
			require.Len(t, actions, 1)
			require.Equal(t, Refuse, actions[0].Verb)
			require.Equal(t, s.want, actions[0].Reason)
			require.Positive(t, actions[0].RetryAfter)
		})
	}
}

// The engine becomes unhealthy while requests are queued. They are refused at once, so
// that gateways can retry elsewhere within the callers' deadlines, and items are
// returned instead of being held until their leases expire.
func TestClosedGateRefusesQueuedRequests(t *testing.T) {
	m := newTestMachine(func(c *Config) { c.Slots = 1 })
	stepAll(m, 0, arrivals("d", 10_000, 1, 2, 3)...)
	stepAll(m, 0, offers(11)...)
	actions := stepAll(m, 1, Gate{Reason: ReasonUnhealthy})
	require.Equal(t, []ID{2, 3}, idsWithVerb(actions, Refuse))
	require.Equal(t, []ID{11}, idsWithVerb(actions, Return))
	require.Empty(t, idsWithVerb(actions, Stop), "running requests may still be answered")
}

// One team fills the queue, another sends a single request. The first team's last
// request is evicted, and the other team's request is served next. Without fair
// queueing it would wait behind the first team's requests or be refused.
func TestTeamsShareFullQueue(t *testing.T) {
	m := newTestMachine(func(c *Config) { c.Slots = 1 })
	stepAll(m, 0, arrivals("flood", 10_000, 1, 2, 3, 4, 5)...)
	actions := stepAll(m, 0, Arrive{ID: 6, Team: "small", Deadline: 20_000})
	require.Equal(t, []ID{5}, idsWithVerb(actions, Refuse))
	require.Equal(t, []ID{6}, idsWithVerb(stepAll(m, 1, Finished{ID: 1}), Start))
	require.Equal(t, []ID{2}, idsWithVerb(stepAll(m, 2, Finished{ID: 6}), Start))
}

// The engine was slow for a while, so the measured service time exceeds the time
// until any request's deadline. A request that finds a free slot must still run, or
// the service time would never be measured again and every request refused.
func TestFreeSlotIgnoresMeasuredServiceTime(t *testing.T) {
	m := newTestMachine(func(c *Config) { c.Slots = 1 })
	stepAll(m, 0, arrivals("d", 100_000, 1)...)
	stepAll(m, 50_000, Finished{ID: 1, Complete: true})
	require.Equal(t, []ID{2}, idsWithVerb(stepAll(m, 50_001, Arrive{ID: 2, Deadline: 51_000}), Start))
}

func TestForeignLoadReducesCapacity(t *testing.T) {
	m := newTestMachine(nil)
	stepAll(m, 0, offers(1, 2, 3, 4)...)
	require.Equal(t, []ID{4, 3, 2}, idsWithVerb(stepAll(m, 1, ForeignLoad{Slots: 3}), Suspend))
	require.Equal(t, 1, m.Snapshot(1).Capacity)
	stepAll(m, 2, ForeignLoad{Slots: 100})
	require.Equal(t, 1, m.Snapshot(2).Capacity, "a wrong report must leave MinSlots")
}

// Three requests arrived shortly before and yields take a whole engine step: with the
// weight on latency batch leaves three slots free. Later the burst has decayed and
// batch fills all slots. With the weight on throughput, or with quick yields, batch
// fills all slots immediately.
func TestHeadroomFollowsBursts(t *testing.T) {
	scenarios := []struct {
		name   string
		weight int
		yield  clock.Millis
		now    clock.Millis
		want   int
	}{
		{"slow yields, latency", 0, 20, 120, 1},
		{"slow yields, balanced", 50, 20, 120, 3},
		{"slow yields, throughput", 100, 20, 120, 4},
		{"burst decayed", 0, 20, 20_000, 4},
		{"quick yields", 0, 1, 120, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := newTestMachine(func(c *Config) { c.BatchWeight, c.Slots, c.BatchSlots = s.weight, 4, 4 })
			stepAll(m, 0, Offer{ID: 99}, ForeignLoad{Slots: 3})
			stepAll(m, 0, arrivals("d", 10_000, 1)...)
			stepAll(m, s.yield, Suspended{ID: 99}, Withdraw{ID: 99}, ForeignLoad{}, Finished{ID: 1})
			stepAll(m, 90, arrivals("d", 10_000, 2, 3, 4)...)
			stepAll(m, 95, Finished{ID: 2}, Finished{ID: 3}, Finished{ID: 4})
			require.Len(t, idsWithVerb(stepAll(m, s.now, offers(11, 12, 13, 14)...), Start), s.want)
		})
	}
}

// A batch prompt in the same engine step as an online prompt would delay the online
// request's first token, so batch waits for that token. While an online stream runs
// and the weight is on latency, batch prompts start one at a time.
func TestBatchPrefillWaitsForOnline(t *testing.T) {
	m := newTestMachine(func(c *Config) { c.BatchWeight = 0 })
	stepAll(m, 0, arrivals("d", 10_000, 1)...)
	require.Empty(t, stepAll(m, 1, offers(11, 12)...))
	require.Equal(t, []ID{11}, idsWithVerb(stepAll(m, 2, FirstToken{ID: 1}), Start))
	require.Equal(t, []ID{12}, idsWithVerb(stepAll(m, 3, FirstToken{ID: 11}), Start))
}

// Batch prompts lengthen the engine steps that online streams share, so the number of
// tokens in prefill is limited. A single item above the limit still runs.
func TestBatchPrefillIsBounded(t *testing.T) {
	m := newTestMachine(nil)
	require.Equal(t, []ID{1}, idsWithVerb(stepAll(m, 0, Offer{ID: 1, PrefillTokens: 500}, Offer{ID: 2, PrefillTokens: 60}, Offer{ID: 3, PrefillTokens: 60}), Start))
	require.Equal(t, []ID{2}, idsWithVerb(stepAll(m, 1, FirstToken{ID: 1}), Start))
	require.Equal(t, []ID{3}, idsWithVerb(stepAll(m, 2, FirstToken{ID: 2}), Start))
}

func TestBaselinePolicies(t *testing.T) {
	naive := newTestMachine(func(c *Config) { c.Policy = Naive })
	require.Len(t, idsWithVerb(stepAll(naive, 0, offers(1, 2, 3, 4, 5, 6)...), Start), 6)
	require.Equal(t, []ID{7}, idsWithVerb(stepAll(naive, 0, arrivals("d", 100, 7)...), Start))
	fixed := newTestMachine(func(c *Config) { c.Policy, c.BatchSlots = Fixed, 1 })
	require.Equal(t, []ID{1}, idsWithVerb(stepAll(fixed, 0, offers(1, 2)...), Start))
	actions := stepAll(fixed, 0, arrivals("d", 100, 11, 12, 13, 14)...)
	require.Equal(t, []ID{11, 12, 13}, idsWithVerb(actions, Start))
	require.Empty(t, idsWithVerb(actions, Suspend))
}

func TestForeignEstimate(t *testing.T) {
	scenarios := []struct {
		name     string
		own      []sample
		now      clock.Millis
		asOf     clock.Millis
		inFlight int
		want     int
	}{
		{"all own", []sample{{0, 3}}, 1_000, 900, 3, 0},
		{"two foreign", []sample{{0, 3}}, 1_000, 900, 5, 2},
		{"own ended since the report", []sample{{0, 3}, {950, 0}}, 1_000, 800, 3, 0},
		{"own started since the report", []sample{{0, 0}, {950, 3}}, 1_000, 800, 2, 2},
		{"start near the time of the report", []sample{{0, 0}, {905, 3}}, 1_000, 900, 3, 0},
		{"different clock", []sample{{0, 0}, {500, 3}, {600, 0}}, 1_000, 99_999, 3, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var f ForeignEstimator
			for _, o := range s.own {
				f.RecordOwnCount(o.at, o.count)
			}
			require.Equal(t, s.want, f.Estimate(s.now, s.asOf, s.inFlight))
		})
	}
}
