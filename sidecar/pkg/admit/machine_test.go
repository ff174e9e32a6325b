package admit

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/clock"
)

func machine(change func(*Config)) *Machine {
	config := Config{
		Policy: Yield, Slots: 4, MinSlots: 1, QueueLimit: 4, BatchSlots: 4, MaxPrefillTokens: 100, BatchWeight: 100,
		BurstWindow: 50, BurstHalfLife: 1_000,
	}
	if change != nil {
		change(&config)
	}
	return New(config)
}

// play steps events at one time and joins the actions.
func play(m *Machine, now clock.Millis, events ...Event) []Action {
	var all []Action
	for _, e := range events {
		all = append(all, m.Step(now, e)...)
	}
	return all
}

func verbs(actions []Action, verb Verb) []ID {
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

// Batch fills the idle engine. Two questions arrive at once: two items are
// suspended in the same step, the newest first, and each question starts as soon
// as a slot is confirmed free. When the questions end, the items go on.
func TestYieldAtOnceAndGoOn(t *testing.T) {
	m := machine(nil)
	require.Equal(t, []ID{1, 2, 3, 4}, verbs(play(m, 0, offers(1, 2, 3, 4)...), Start))
	actions := play(m, 10, arrivals("d", 1_000, 10, 11)...)
	require.Equal(t, []ID{4, 3}, verbs(actions, Suspend))
	require.Empty(t, verbs(actions, Start), "a slot that is not confirmed free would make the engine queue")
	require.Equal(t, []ID{10}, verbs(play(m, 12, Suspended{ID: 4}), Start))
	require.Equal(t, []ID{11}, verbs(play(m, 12, Suspended{ID: 3}), Start))
	require.Equal(t, []ID{4}, verbs(play(m, 100, Finished{ID: 10, Complete: true}), Resume))
	require.Equal(t, uint64(2), m.Snapshot(100).Stats.Yields)
}

func TestRefusals(t *testing.T) {
	full := func() *Machine {
		m := machine(func(c *Config) { c.Slots, c.QueueLimit = 1, 2 })
		play(m, 0, arrivals("d", 10_000, 1)...)
		return m
	}
	measured := func() *Machine {
		m := full()
		play(m, 100, Finished{ID: 1, Complete: true})
		play(m, 100, arrivals("d", 10_000, 2)...)
		return m
	}
	scenarios := []struct {
		name    string
		machine *Machine
		before  []Event
		event   Event
		wants   Reason
	}{
		{"queue full", full(), arrivals("d", 10_000, 2, 3), Arrive{ID: 4, Team: "d", Deadline: 10_000}, ReasonQueueFull},
		{"already late", full(), nil, Arrive{ID: 4, Deadline: 50}, ReasonDeadline},
		{"can't be in time", measured(), nil, Arrive{ID: 4, Deadline: 250}, ReasonDeadline},
		{"can be in time", measured(), nil, Arrive{ID: 4, Deadline: 400}, ""},
		{"leaving", full(), []Event{Drain{}}, Arrive{ID: 4, Deadline: 10_000}, ReasonLeaving},
		{"unhealthy", full(), []Event{Gate{Reason: ReasonUnhealthy}}, Arrive{ID: 4, Deadline: 10_000}, ReasonUnhealthy},
		{"loading", full(), []Event{Gate{Reason: ReasonLoading}}, Arrive{ID: 4, Deadline: 10_000}, ReasonLoading},
		{"duplicate", full(), nil, Arrive{ID: 1, Deadline: 10_000}, ReasonDuplicate},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			play(s.machine, 100, s.before...)
			actions := play(s.machine, 100, s.event)
			if s.wants == "" {
				require.Empty(t, actions)
				return
			}
			require.Len(t, actions, 1)
			require.Equal(t, Refuse, actions[0].Verb)
			require.Equal(t, s.wants, actions[0].Reason)
			require.Positive(t, actions[0].RetryAfter)
		})
	}
}

// The engine falls silent while requests wait. They hear at once, as not run, so
// that the gateways can go elsewhere within the callers' deadlines; items are
// handed back rather than held until their leases run out.
func TestClosingRefusesWhatWaits(t *testing.T) {
	m := machine(func(c *Config) { c.Slots = 1 })
	play(m, 0, arrivals("d", 10_000, 1, 2, 3)...)
	play(m, 0, offers(11)...)
	actions := play(m, 1, Gate{Reason: ReasonUnhealthy})
	require.Equal(t, []ID{2, 3}, verbs(actions, Refuse))
	require.Equal(t, []ID{11}, verbs(actions, Return))
	require.Empty(t, verbs(actions, Stop), "what runs may still be answered")
}

// One team floods the queue, another sends one request. The flood loses its
// last one, and the other team's request is served in its turn: without the
// share it would wait behind, or be refused by, all of the flood.
func TestTeamsShareAFullQueue(t *testing.T) {
	m := machine(func(c *Config) { c.Slots = 1 })
	play(m, 0, arrivals("flood", 10_000, 1, 2, 3, 4, 5)...)
	actions := play(m, 0, Arrive{ID: 6, Team: "small", Deadline: 20_000})
	require.Equal(t, []ID{5}, verbs(actions, Refuse))
	require.Equal(t, []ID{6}, verbs(play(m, 1, Finished{ID: 1}), Start))
	require.Equal(t, []ID{2}, verbs(play(m, 2, Finished{ID: 6}), Start))
}

// The engine slows down for a while, so the measured service time is far above
// every request's budget. A request that finds a free slot must still run, or
// nothing would ever be measured again and every request would be refused.
func TestServiceTimeCantLockTheDoor(t *testing.T) {
	m := machine(func(c *Config) { c.Slots = 1 })
	play(m, 0, arrivals("d", 100_000, 1)...)
	play(m, 50_000, Finished{ID: 1, Complete: true})
	require.Equal(t, []ID{2}, verbs(play(m, 50_001, Arrive{ID: 2, Deadline: 51_000}), Start))
}

func TestForeignLoadLowersTheShare(t *testing.T) {
	m := machine(nil)
	play(m, 0, offers(1, 2, 3, 4)...)
	require.Equal(t, []ID{4, 3, 2}, verbs(play(m, 1, ForeignLoad{Slots: 3}), Suspend))
	require.Equal(t, 1, m.Snapshot(1).Capacity)
	play(m, 2, ForeignLoad{Slots: 100})
	require.Equal(t, 1, m.Snapshot(2).Capacity, "a wrong report must not take the last slot")
}

// A burst of three arrived a moment ago, the weight favours latency: batch
// A burst of three came a moment ago and yields take a whole step: with the
// weight on latency batch leaves three slots. Later the burst is forgotten and
// batch fills all. With the opposite weight, or when yields are quick, it fills
// every slot at once.
func TestHeadroomFollowsBursts(t *testing.T) {
	scenarios := []struct {
		name   string
		weight int
		yield  clock.Millis
		now    clock.Millis
		wants  int
	}{
		{"slow yields, latency", 0, 20, 120, 1},
		{"slow yields, between", 50, 20, 120, 3},
		{"slow yields, throughput", 100, 20, 120, 4},
		{"forgotten", 0, 20, 20_000, 4},
		{"quick yields", 0, 1, 120, 4},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			m := machine(func(c *Config) { c.BatchWeight, c.Slots, c.BatchSlots = s.weight, 4, 4 })
			play(m, 0, Offer{ID: 99}, ForeignLoad{Slots: 3})
			play(m, 0, arrivals("d", 10_000, 1)...)
			play(m, s.yield, Suspended{ID: 99}, Withdraw{ID: 99}, ForeignLoad{}, Finished{ID: 1})
			play(m, 90, arrivals("d", 10_000, 2, 3, 4)...)
			play(m, 95, Finished{ID: 2}, Finished{ID: 3}, Finished{ID: 4})
			require.Len(t, verbs(play(m, s.now, offers(11, 12, 13, 14)...), Start), s.wants)
		})
	}
}

// An online prompt is in prefill: a batch prompt in the same step would delay
// its first token, so batch waits for that token. With an online stream running,
// batch prompts go one at a time when the weight is on latency.
func TestBatchPrefillWaitsForOnline(t *testing.T) {
	m := machine(func(c *Config) { c.BatchWeight = 0 })
	play(m, 0, arrivals("d", 10_000, 1)...)
	require.Empty(t, play(m, 1, offers(11, 12)...))
	require.Equal(t, []ID{11}, verbs(play(m, 2, FirstToken{ID: 1}), Start))
	require.Equal(t, []ID{12}, verbs(play(m, 3, FirstToken{ID: 11}), Start))
}

// Prompts of batch items lengthen the steps that online streams share, so only
// so many tokens are in prefill at once; a single long one still runs.
func TestBatchPrefillIsBounded(t *testing.T) {
	m := machine(nil)
	require.Equal(t, []ID{1}, verbs(play(m, 0, Offer{ID: 1, PrefillTokens: 500}, Offer{ID: 2, PrefillTokens: 60}, Offer{ID: 3, PrefillTokens: 60}), Start))
	require.Equal(t, []ID{2}, verbs(play(m, 1, FirstToken{ID: 1}), Start))
	require.Equal(t, []ID{3}, verbs(play(m, 2, FirstToken{ID: 2}), Start))
}

func TestBaselines(t *testing.T) {
	naive := machine(func(c *Config) { c.Policy = Naive })
	require.Len(t, verbs(play(naive, 0, offers(1, 2, 3, 4, 5, 6)...), Start), 6)
	require.Equal(t, []ID{7}, verbs(play(naive, 0, arrivals("d", 100, 7)...), Start))
	fixed := machine(func(c *Config) { c.Policy, c.BatchSlots = Fixed, 1 })
	require.Equal(t, []ID{1}, verbs(play(fixed, 0, offers(1, 2)...), Start))
	actions := play(fixed, 0, arrivals("d", 100, 11, 12, 13, 14)...)
	require.Equal(t, []ID{11, 12, 13}, verbs(actions, Start))
	require.Empty(t, verbs(actions, Suspend))
}

func TestForeignEstimate(t *testing.T) {
	scenarios := []struct {
		name     string
		own      []sample
		now      clock.Millis
		asOf     clock.Millis
		inFlight int
		wants    int
	}{
		{"all ours", []sample{{0, 3}}, 1_000, 900, 3, 0},
		{"two of others", []sample{{0, 3}}, 1_000, 900, 5, 2},
		{"ours ended since the report", []sample{{0, 3}, {950, 0}}, 1_000, 800, 3, 0},
		{"ours started since the report", []sample{{0, 0}, {950, 3}}, 1_000, 800, 2, 2},
		{"start near the report's moment", []sample{{0, 0}, {905, 3}}, 1_000, 900, 3, 0},
		{"another clock", []sample{{0, 0}, {500, 3}, {600, 0}}, 1_000, 99_999, 3, 0},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var f ForeignEstimator
			for _, o := range s.own {
				f.RecordOwn(o.at, o.count)
			}
			require.Equal(t, s.wants, f.Estimate(s.now, s.asOf, s.inFlight))
		})
	}
}
