package dispatch

import "toucanhinge.example/common/pkg/clock"

// Rests of an item whose runner crashed. An item isn't the cause: several runners may crash under it by chance while
// runners crash in a row. It rests all the same, so that it doesn't meet the next of these crashes, and briefly, since
// it is owed.
const (
	// minRestedCrashes is the number of crashes in a row from which on an item rests longer than after a broken call.
	minRestedCrashes = 2
	// firstCrashRest is the first of these rests. It doubles with each further crash, up to maxCrashRest.
	firstCrashRest clock.Millis = 500
	maxCrashRest   clock.Millis = 3_000
)

// Crashed records that the runner of an item crashed. The item waits again and is not restarted before its rest, at
// least the backoff, is over.
func (m *Machine) Crashed(now clock.Millis, key Key, backoff clock.Millis) {
	i := m.items[key]
	if i == nil || i.runner == "" {
		return
	}
	i.crashes++
	m.Stopped(now, key, max(backoff, crashRest(i.crashes)))
}

// Progressed records that an item ran for long without a crash, which ends its row of crashes.
func (m *Machine) Progressed(key Key) {
	if i := m.items[key]; i != nil {
		i.crashes = 0
	}
}

// crashRest returns the rest after a number of crashes in a row.
func crashRest(crashes int) clock.Millis {
	if crashes < minRestedCrashes {
		return 0
	}
	rest := firstCrashRest
	for n := minRestedCrashes; n < crashes && rest < maxCrashRest; n++ {
		rest *= 2
	}
	return min(rest, maxCrashRest)
}
