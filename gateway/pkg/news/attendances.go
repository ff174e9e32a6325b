package news

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	// passEvery is how often it is passed on that a gateway is still there. The leader forgets
	// one after four seconds, and news of it may take most of a second on each of two ways.
	passEvery clock.Millis = 700
	// attendExpiry is how long a gateway counts as there after it was heard last.
	attendExpiry clock.Millis = 2_000
)

// attendances are the gateways that hear from this one. It holds no goroutine, socket or clock.
type attendances struct{ byName map[string]attendance }

type attendance struct {
	address string
	heard   clock.Millis
	// passed is when it was passed on last, 0 if it wasn't.
	passed clock.Millis
	// holds says that it holds a fleet.
	holds bool
}

// note takes up that a gateway was heard at a moment.
func (a *attendances) note(name, address string, heard clock.Millis, holds bool) {
	if a.byName == nil {
		a.byName = map[string]attendance{}
	}
	before := a.byName[name]
	if before.address != address || before.holds != holds {
		before.passed = 0
	}
	a.byName[name] = attendance{address: address, heard: max(before.heard, heard), passed: before.passed, holds: holds}
}

// pass lists whom to tell of now; all if whoever hears it may know of none.
func (a *attendances) pass(now clock.Millis, all bool) []*toucanhingev1.Attendance {
	var list []*toucanhingev1.Attendance
	for name, g := range a.byName {
		if now-g.heard > attendExpiry {
			delete(a.byName, name)
			continue
		}
		if !all && g.passed > 0 && now-g.passed < passEvery {
			continue
		}
		g.passed = now
		a.byName[name] = g
		list = append(list, &toucanhingev1.Attendance{Name: name, Address: g.address, AgeMs: uint32(max(now-g.heard, 0)), Holds: g.holds})
	}
	return list
}
