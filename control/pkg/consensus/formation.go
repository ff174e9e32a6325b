package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

var errNoHello = errors.New("hello carries no content")

// Formation finds out, at the first start of a group, which identities its
// members have. Settings name the members but nobody knows the others' random
// identities yet.
//
// Each replica pins, durably, the first identity it sees under each name, and
// tells all its pins. It takes part only once every member has told the very
// same full set, or one that already takes part has. So when the first replica
// votes, all members hold the same pins for good: a replica that loses its disk
// in between can't get any set that names its new identity agreed, and a vote
// that it gave before is never given twice. The price: all members must be up
// once, at the same time, before a new group takes its first entry.
type Formation struct {
	self   Member
	pins   Members
	agreed map[string]bool
	formed bool
	// resumed tells that the group was formed just before a restart.
	resumed bool
}

// Hello is what replicas tell one another during formation, and what each keeps
// on its disk meanwhile.
type Hello struct {
	Pins   Members `json:"pins"`
	Formed bool    `json:"formed"`
}

// FormationActions is what a step of a formation asks for. Keep, if not nil,
// must be durable before anything else is done. Formed is set once, with the
// first membership. Conflict names a member whose identity, or whose settings,
// differ from what is pinned.
type FormationActions struct {
	Persist     *Hello
	Messages []Message
	Formed   Members
	Conflict string
}

// FormationConfig sets up a formation. Settings are the members of a new group,
// Kept is what was made durable before, and HasLog says whether the log has
// entries.
type FormationConfig struct {
	Self     Member
	BootstrapMembers Members
	Persisted     Hello
	HasLog   bool
}

// NewFormation starts a formation.
func NewFormation(config FormationConfig) *Formation {
	f := &Formation{self: config.Self, pins: slices.Clone(config.Persisted.Pins), agreed: map[string]bool{}}
	switch {
	case config.HasLog && config.Persisted.Formed:
		f.formed = true
	case config.HasLog:
		f.MarkJoined()
	case config.Persisted.Formed:
		f.resumed = true
	case len(f.pins) == 0:
		f.pins = firstPins(config)
	}
	return f
}

func firstPins(config FormationConfig) Members {
	var pins Members
	for _, m := range config.BootstrapMembers {
		m.Identity = ""
		if m.Name == config.Self.Name {
			m.Identity = config.Self.Identity
		}
		pins = append(pins, m)
	}
	slices.SortFunc(pins, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return pins
}

// Done says that this replica takes part.
func (f *Formation) Done() bool { return f.formed }

// MarkJoined notes that the replica got its log from a leader instead. Its pins are
// then no proof of anything, so it tells them to nobody.
func (f *Formation) MarkJoined() {
	f.formed = true
	f.pins = nil
}

// Tick greets the others, as long as the group isn't formed.
func (f *Formation) Tick() FormationActions {
	var out FormationActions
	if f.formed || !f.pins.Has(f.self.Name, f.self.Identity) {
		return out
	}
	f.conclude(&out)
	for _, m := range f.pins {
		if m.Name != f.self.Name {
			out.Messages = append(out.Messages, f.hello(m.Name))
		}
	}
	return out
}

// Receive takes the greeting of another replica.
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
	f.conclude(&out)
	return out
}

// pin takes the first identity seen under a name that the settings list.
func (f *Formation) pin(msg Message, out *FormationActions) {
	for i, m := range f.pins {
		if m.Name == msg.From && m.Identity == "" && msg.FromIdentity != "" {
			f.pins = slices.Clone(f.pins)
			f.pins[i].Identity = msg.FromIdentity
			f.agreed = map[string]bool{}
			out.Persist = &Hello{Pins: f.pins}
		}
	}
}

// conclude forms the group once all others told the same full pins.
func (f *Formation) conclude(out *FormationActions) {
	if f.resumed || len(f.agreed) == len(f.pins)-1 {
		f.form(out)
	}
}

func (f *Formation) form(out *FormationActions) {
	if f.complete() && !f.formed {
		f.formed = true
		out.Formed = f.pins
		out.Persist = &Hello{Pins: f.pins, Formed: true}
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
		panic(fmt.Sprintf("hello can't be encoded: %v", err))
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
