package dispatch

import (
	"fmt"
	"testing"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// BenchmarkStep measures one decision after a change of the load, on a fleet with few free slots
// and thousands of waiting items. Results are in docs/decisions/fleet-scale.md.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct{ runners, items int }{{144, 3_000}, {144, 30_000}, {600, 3_000}, {600, 30_000}} {
		b.Run(fmt.Sprintf("%d-runners-%d-items", c.runners, c.items), func(b *testing.B) {
			m := New()
			var runners []*toucanhingev1.Runner
			loads := map[string]Load{}
			for i := range c.runners {
				r := testRunner(fmt.Sprintf("r%d", i), 8)
				runners = append(runners, r)
				loads[r.GetId()] = Load{Online: 5}
			}
			for i := range c.items {
				item := testItem(fmt.Sprintf("job-%d", i/10), uint32(i%10), clock.Millis(18_000+i/10))
				item.Tokens = int64(300 + i%97)
				m.Add(item)
			}
			env := testEnvironment(loads, runners...)
			env.Services = func(string) []string { return []string{"llm"} }
			now := clock.Millis(0)
			m.Step(now, env)
			b.ResetTimer()
			for i := range b.N {
				now += 5
				busy := runners[i/2%len(runners)].GetId()
				loads[busy] = Load{Online: 6 - i%2}
				m.Step(now, env)
			}
		})
	}
}
