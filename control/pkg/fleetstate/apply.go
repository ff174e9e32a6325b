package fleetstate

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"toucanhinge.example/common/pkg/clock"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Codes that the reason of a refused change begins with.
const (
	CodeConflict  = "version-conflict"
	CodeInvalid   = "invalid"
	CodeInUse     = "in-use"
	CodeReusedID  = "request-id-reused"
	CodeNotExists = "not-found"
)

// refusal explains why a change is refused.
type refusal struct {
	code string
	text string
}

func refusalf(code, format string, args ...any) *refusal {
	return &refusal{code: code, text: fmt.Sprintf(format, args...)}
}

// cachedResponse is the first response to a request id. The fingerprint identifies
// the request that it belongs to.
type cachedResponse struct {
	at          clock.Millis
	fingerprint []byte
	response    *toucanhingev1.ApplyResponse
}

// responseCache stores the first response to each request id, in order of age, oldest
// first.
type responseCache struct {
	byID  map[string]cachedResponse
	order []string
}

func (c *responseCache) add(id string, r cachedResponse) {
	c.byID[id] = r
	c.order = append(c.order, id)
	if len(c.order) > requestLimit {
		c.evictOldest()
	}
}

func (c *responseCache) evictOldest() {
	delete(c.byID, c.order[0])
	c.order = c.order[1:]
}

func (c *responseCache) evictBefore(at clock.Millis) {
	for len(c.order) > 0 && c.byID[c.order[0]].at < at {
		c.evictOldest()
	}
}

// apply accepts or refuses an operator's change. An operator that lost the response
// sends the same request again. Without the cached response, the resend would be
// refused with a version conflict that its own first attempt caused, or would undo a
// later change.
func (s *State) apply(step *toucanhingev1.ApplyStep) any {
	request := step.GetRequest()
	fingerprint := fingerprintOf(request)
	if first, found := s.responses.byID[request.GetRequestId()]; found {
		if !bytes.Equal(first.fingerprint, fingerprint) {
			return s.refuse(request, refusalf(CodeReusedID, "request id %q named another change before", request.GetRequestId()))
		}
		s.counts.Resent++
		return first.response
	}
	response := s.decide(step)
	s.responses.add(request.GetRequestId(), cachedResponse{at: s.now, fingerprint: fingerprint, response: response})
	return response
}

func fingerprintOf(request *toucanhingev1.ApplyRequest) []byte {
	// The library's encoding of a message is stable within one version of the library.
	// Fingerprints of different versions are compared only for resends during an upgrade.
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(request)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(encoded)
	return sum[:16]
}

func (s *State) refuse(request *toucanhingev1.ApplyRequest, r *refusal) *toucanhingev1.ApplyResponse {
	s.counts.Refused++
	present := s.entries[fleetconfig.Key{Kind: request.GetEntry().GetKind(), Name: request.GetEntry().GetName()}]
	return &toucanhingev1.ApplyResponse{Entry: present, Reason: r.code + ": " + r.text}
}

func (s *State) decide(step *toucanhingev1.ApplyStep) *toucanhingev1.ApplyResponse {
	request := step.GetRequest()
	if r := s.check(request); r != nil {
		return s.refuse(request, r)
	}
	requested := request.GetEntry()
	entry := &toucanhingev1.Entry{
		Kind: requested.GetKind(), Name: requested.GetName(), Removed: requested.GetRemoved(),
		Author: request.GetAuthor(), Body: requested.GetBody(),
	}
	if entry.GetRemoved() {
		entry.Body = nil
	} else if order := entry.GetOrder(); order != nil {
		entry.Body = &toucanhingev1.Entry_Order{Order: s.schedule(order, clock.Millis(step.GetLoadIntervalMs()))}
	}
	s.counts.Applied++
	return &toucanhingev1.ApplyResponse{Accepted: true, Entry: s.put(entry)}
}

func (s *State) check(request *toucanhingev1.ApplyRequest) *refusal {
	if r := checkShape(request); r != nil {
		return r
	}
	if r := s.checkVersion(request); r != nil {
		return r
	}
	if request.GetEntry().GetRemoved() {
		return s.checkRemoval(request.GetEntry())
	}
	return s.checkBody(request.GetEntry())
}

// checkVersion refuses a change that is based on another version than the current
// one. Of two concurrent changes with the same base version, the first is accepted; the
// second is refused, and its response contains the current entry.
func (s *State) checkVersion(request *toucanhingev1.ApplyRequest) *refusal {
	entry := request.GetEntry()
	present, found := s.entries[fleetconfig.Key{Kind: entry.GetKind(), Name: entry.GetName()}]
	if !found {
		if entry.GetRemoved() {
			return refusalf(CodeNotExists, "there is no such entry to remove")
		}
		if request.GetBaseVersion() != 0 {
			return refusalf(CodeConflict, "the entry does not exist, the change is based on version %d", request.GetBaseVersion())
		}
		return nil
	}
	if present.GetRemoved() && entry.GetRemoved() {
		return refusalf(CodeNotExists, "the entry was removed at version %d", present.GetVersion())
	}
	if request.GetBaseVersion() == present.GetVersion() || (present.GetRemoved() && request.GetBaseVersion() == 0) {
		return nil
	}
	return refusalf(CodeConflict, "the entry is at version %d, the change is based on %d", present.GetVersion(), request.GetBaseVersion())
}

// schedule sets the earliest time at which an order may be carried out. Orders that load
// weights are spaced by the interval, so that a restart of all endpoints can't exceed the
// rate of the weight store.
func (s *State) schedule(requested *toucanhingev1.Order, interval clock.Millis) *toucanhingev1.Order {
	order := proto.CloneOf(requested)
	order.NotBeforeMs = max(requested.GetNotBeforeMs(), int64(s.now))
	if order.GetKind() == toucanhingev1.OrderKind_ORDER_KIND_SET_ROLE {
		return order
	}
	at := max(clock.Millis(order.GetNotBeforeMs()), s.lastLoad+interval)
	s.lastLoad = at
	order.NotBeforeMs = int64(at)
	return order
}

func compareEntries(a, b *toucanhingev1.Entry) int {
	return cmp.Or(cmp.Compare(a.GetKind(), b.GetKind()), cmp.Compare(a.GetName(), b.GetName()))
}
