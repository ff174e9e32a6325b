package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var errNoHello = errors.New("hello message must have exactly one entry")

// Formation determines the identities of the members at the first start of a group. The
// settings name the members, but no replica knows the random identities of the others
// yet.
//
// Each replica durably pins the first identity it sees under each name and sends all its
// pins to the others. It joins the group only once every member has sent exactly the
// same complete set of pins, or once a member that has already joined has sent it. So when
// the first replica votes, all members have the same pins permanently: if a replica then
// loses its disk, no set with its new identity can be agreed on, and the replica can't vote
// a second time. The price is that all members must be up at the same time once before a
// new group accepts its first entry.
//
// If the settings name the identities, too, nothing is to be pinned, and a majority that has the
// same members suffices. That requires that a replica which lost its disk never starts again under
// the identity in the settings.
type Formation struct {
	self   Member
	pins   Members
	agreed map[string]bool
	formed bool
	// majority means that the settings named the identities. unsaved means that the pins are not durable yet.
	majority bool
	unsaved  bool
	// resumed means that the group was formed just before a restart.
	resumed bool
}

// Hello is the message that replicas exchange during formation, and the record that each
// replica stores on its disk during that time.
type Hello struct {
	Pins   Members `json:"pins"`
	Formed bool    `json:"formed"`
	// Majority means that the settings named the identities.
	Majority bool `json:"majority,omitempty"`
}

// FormationActions is the output of a formation step. Persist, if not nil, must be
// durable before any other action is executed. Formed is set once, to the first
// membership. Conflict is the name of a member whose identity or settings differ from the
// pinned ones.
type FormationActions struct {
	Persist  *Hello
	Messages []Message
	Formed   Members
	Conflict string
}

// FormationConfig configures a Formation. BootstrapMembers are the members of a new
// group, with their identities if these are known, Persisted is the record that was made durable
// before, and HasLog reports whether the log has entries.
type FormationConfig struct {
	Self             Member
	BootstrapMembers Members
	Persisted        Hello
	HasLog           bool
}

// NewFormation creates a formation.
func NewFormation(config FormationConfig) *Formation {
	f := &Formation{
		self: config.Self, pins: slices.Clone(config.Persisted.Pins), agreed: map[string]bool{}, majority: config.Persisted.Majority,
	}
	switch {
	case config.HasLog && config.Persisted.Formed:
		f.formed = true
	case config.HasLog:
		f.MarkJoined()
	case config.Persisted.Formed:
		f.resumed = true
	case len(f.pins) == 0:
		f.pins = initialPins(config)
		f.majority = complete(config.BootstrapMembers)
		f.unsaved = f.majority
	}
	return f
}

func initialPins(config FormationConfig) Members {
	var pins Members
	for _, m := range config.BootstrapMembers {
		if m.Name == config.Self.Name {
			m.Identity = config.Self.Identity
		}
		pins = append(pins, m)
	}
	slices.SortFunc(pins, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return pins
}

// Done reports whether this replica has joined the group.
func (f *Formation) Done() bool { return f.formed }

// MarkJoined records that the replica received its log from a leader instead. Its pins
// may then differ from those of the group, so it doesn't send them any more.
func (f *Formation) MarkJoined() {
	f.formed = true
	f.pins = nil
}

// Tick sends a hello to the other members as long as the group isn't formed.
func (f *Formation) Tick() FormationActions {
	var out FormationActions
	if f.formed || !f.pins.Has(f.self.Name, f.self.Identity) {
		return out
	}
	if f.unsaved {
		f.unsaved = false
		out.Persist = f.record(false)
	}
	f.formIfAgreed(&out)
	for _, m := range f.pins {
		if m.Name != f.self.Name {
			out.Messages = append(out.Messages, f.hello(m.Name))
		}
	}
	return out
}

// Receive handles the hello of another replica.
func (f *Formation) Receive(msg Message) FormationActions {
	var out FormationActions
	hello, err := decodeHello(msg)
	if err != nil || len(f.pins) == 0 {
		return out
	}
	if f.formed {
		if !hello.Formed {
			out.Messages = append(out.Messages, f.hello(msg.From))
		}
		return out
	}
	f.pin(msg, &out)
	if !f.pins.Has(msg.From, msg.FromIdentity) {
		out.Conflict = msg.From
		return out
	}
	if slices.Equal(hello.Pins, f.pins) {
		f.agreed[msg.From] = true
		if hello.Formed {
			f.form(&out)
		}
	} else if hello.Formed || f.complete() && complete(hello.Pins) {
		out.Conflict = msg.From
	}
	f.formIfAgreed(&out)
	return out
}

// pin records the first identity seen under a name that the settings list.
func (f *Formation) pin(msg Message, out *FormationActions) {
	for i, m := range f.pins {
		if m.Name == msg.From && m.Identity == "" && msg.FromIdentity != "" {
			f.pins = slices.Clone(f.pins)
			f.pins[i].Identity = msg.FromIdentity
			f.agreed = map[string]bool{}
			out.Persist = f.record(false)
		}
	}
}

// formIfAgreed forms the group once all other members, or enough for a majority, have sent the same
// complete set of pins.
func (f *Formation) formIfAgreed(out *FormationActions) {
	needed := len(f.pins) - 1
	if f.majority {
		needed = len(f.pins) / 2
	}
	if f.resumed || len(f.agreed) >= needed {
		f.form(out)
	}
}

// record returns what must be durable.
func (f *Formation) record(formed bool) *Hello {
	return &Hello{Pins: f.pins, Formed: formed, Majority: f.majority}
}

func (f *Formation) form(out *FormationActions) {
	if f.complete() && !f.formed {
		f.formed = true
		out.Formed = f.pins
		out.Persist = f.record(true)
	}
}

func (f *Formation) complete() bool { return complete(f.pins) }

func complete(pins Members) bool {
	for _, m := range pins {
		if m.Identity == "" {
			return false
		}
	}
	return len(pins) > 0
}

func (f *Formation) hello(to string) Message {
	data, err := json.Marshal(Hello{Pins: f.pins, Formed: f.formed})
	if err != nil {
		panic(fmt.Sprintf("encode hello: %v", err))
	}
	return Message{
		Kind: KindHello, From: f.self.Name, FromIdentity: f.self.Identity, To: to,
		Entries: []Entry{{Data: data}},
	}
}

func decodeHello(msg Message) (Hello, error) {
	var hello Hello
	if len(msg.Entries) != 1 {
		return hello, errNoHello
	}
	if err := json.Unmarshal(msg.Entries[0].Data, &hello); err != nil {
		return hello, fmt.Errorf("decode hello: %w", err)
	}
	return hello, nil
}
