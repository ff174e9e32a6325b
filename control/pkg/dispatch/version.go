package dispatch

import (
	"slices"

	"toucanhinge.example/common/pkg/clock"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// minVersionWait is how long an item waits at least for a slot at the software version that wrote its text while slots
// of other versions are free. A slot of a runner becomes free several times a second.
const minVersionWait clock.Millis = 500

// SetVersion records the software version that wrote an item's text, empty if it has none. It has no effect while the
// item runs.
func (m *Machine) SetVersion(key Key, version string) {
	if i := m.items[key]; i != nil && i.runner == "" {
		i.version = version
	}
}

// discardTextOfOther discards the work that a start at the given software version can't continue.
func (i *item) discardTextOfOther(version string) {
	if i.version != "" && i.version != version {
		i.version, i.ranFor = "", 0
	}
	i.passedOverSince = 0
}

// softwareVersions are the versions of the runners that take items, by service. It is nil if all runners have the same
// version, so that decisions needn't regard versions.
type softwareVersions map[string][]string

func versionsOf(runners []*toucanhingev1.Runner) softwareVersions {
	if len(runners) == 0 || !slices.ContainsFunc(runners, func(r *toucanhingev1.Runner) bool { return r.GetVersion() != runners[0].GetVersion() }) {
		return nil
	}
	versions := softwareVersions{}
	for _, r := range runners {
		if !r.GetLeaving() && !slices.Contains(versions[r.GetService()], r.GetVersion()) {
			versions[r.GetService()] = append(versions[r.GetService()], r.GetVersion())
		}
	}
	return versions
}

// include reports whether any of the services has runners of a version.
func (v softwareVersions) include(services []string, version string) bool {
	return slices.ContainsFunc(services, func(service string) bool { return slices.Contains(v[service], version) })
}

// isPinned reports whether a waiting item may start only at the software version that wrote its text. It may restart
// elsewhere if that version has no runners left, or once it has been passed over for its version for as long as its work would
// take again: then it has waited at most twice as long as would have been best.
func (i *item) isPinned(now clock.Millis, versions softwareVersions, services []string) bool {
	if versions == nil || i.version == "" || !versions.include(services, i.version) {
		return false
	}
	return i.passedOverSince == 0 || now-i.passedOverSince < max(clock.Millis(i.ranFor), minVersionWait)
}

// passOver records that a waiting item can't use the free slots, since none is at its software version.
func (i *item) passOver(now clock.Millis) {
	if i.passedOverSince == 0 {
		i.passedOverSince = now
	}
}
