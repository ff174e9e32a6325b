package streamorigin

import (
	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// History records since when each service has runners of which software versions. It decides whether a stream without
// a record can only have begun at one version.
type History struct {
	services map[string]*versions
}

type versions struct {
	since clock.Millis
	// current holds the versions of the newest list, endedAt when earlier ones were listed last.
	current map[string]bool
	endedAt map[string]clock.Millis
}

// NewHistory returns a history without services.
func NewHistory() *History { return &History{services: map[string]*versions{}} }

// Update records a new list of runners.
func (h *History) Update(now clock.Millis, runners []*toucanhingev1.Runner) {
	current := map[string]map[string]bool{}
	for _, r := range runners {
		if current[r.GetService()] == nil {
			current[r.GetService()] = map[string]bool{}
		}
		current[r.GetService()][r.GetVersion()] = true
	}
	for service := range current {
		if h.services[service] == nil {
			h.services[service] = &versions{since: now, endedAt: map[string]clock.Millis{}}
		}
	}
	for service, v := range h.services {
		for version := range v.current {
			if !current[service][version] {
				v.endedAt[version] = now
			}
		}
		v.current = current[service]
	}
}

// Knows reports whether a service has, or lately had, runners of a software version.
func (h *History) Knows(origin Origin) bool {
	v := h.services[origin.Service]
	if v == nil {
		return false
	}
	_, ended := v.endedAt[origin.Version]
	return ended || v.current[origin.Version]
}

// Only returns the version that all runners of a service have had for at least the given time.
func (h *History) Only(now clock.Millis, service string, span clock.Millis) (version string, ok bool) {
	v := h.services[service]
	if v == nil || now-v.since < span || len(v.current) != 1 {
		return "", false
	}
	for current := range v.current {
		version = current
	}
	for other, at := range v.endedAt {
		if now-at >= span {
			delete(v.endedAt, other)
		} else if other != version {
			return "", false
		}
	}
	return version, true
}
