package fleetstate

import (
	"math"
	"net/url"
	"regexp"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Limits of the values that operators may set.
const (
	maxIDBytes      = 128
	maxTextBytes    = 1024
	maxItemAttempts = 20
	maxWeight       = 1000
	maxPercent      = 100
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	memberPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checkShape checks a request without regard to other entries.
func checkShape(request *toucanhingev1.ApplyRequest) *refusal {
	entry := request.GetEntry()
	if id := request.GetRequestId(); id == "" || len(id) > maxIDBytes {
		return refusalf(CodeInvalid, "request_id: want 1 to %d bytes", maxIDBytes)
	}
	if entry == nil {
		return refusalf(CodeInvalid, "entry: missing")
	}
	if len(request.GetAuthor()) > maxTextBytes {
		return refusalf(CodeInvalid, "author: longer than %d bytes", maxTextBytes)
	}
	pattern := namePattern
	switch entry.GetKind() {
	case toucanhingev1.Kind_KIND_MEMBER, toucanhingev1.Kind_KIND_ORDER, toucanhingev1.Kind_KIND_DRAIN:
		pattern = memberPattern
	}
	if !pattern.MatchString(entry.GetName()) {
		return refusalf(CodeInvalid, "name: %q does not match %s", entry.GetName(), pattern)
	}
	if !entry.GetRemoved() && entry.GetKind() != kindOfBody(entry) {
		return refusalf(CodeInvalid, "body: it does not fit the kind %s", entry.GetKind())
	}
	return nil
}

func kindOfBody(entry *toucanhingev1.Entry) toucanhingev1.Kind {
	switch entry.GetBody().(type) {
	case *toucanhingev1.Entry_DataCentre:
		return toucanhingev1.Kind_KIND_DATA_CENTRE
	case *toucanhingev1.Entry_Link:
		return toucanhingev1.Kind_KIND_LINK
	case *toucanhingev1.Entry_Service:
		return toucanhingev1.Kind_KIND_SERVICE
	case *toucanhingev1.Entry_Team:
		return toucanhingev1.Kind_KIND_TEAM
	case *toucanhingev1.Entry_Contract:
		return toucanhingev1.Kind_KIND_CONTRACT
	case *toucanhingev1.Entry_Member:
		return toucanhingev1.Kind_KIND_MEMBER
	case *toucanhingev1.Entry_Order:
		return toucanhingev1.Kind_KIND_ORDER
	case *toucanhingev1.Entry_Drain:
		return toucanhingev1.Kind_KIND_DRAIN
	default:
		// KIND_UNSPECIFIED would match an entry that has neither a kind nor a body.
		return -1
	}
}

func (s *State) checkBody(entry *toucanhingev1.Entry) *refusal {
	switch entry.GetKind() {
	case toucanhingev1.Kind_KIND_DATA_CENTRE:
		return checkText("region", entry.GetDataCentre().GetRegion())
	case toucanhingev1.Kind_KIND_LINK:
		return s.checkLink(entry.GetName(), entry.GetLink())
	case toucanhingev1.Kind_KIND_SERVICE:
		return s.checkService(entry.GetName(), entry.GetService())
	case toucanhingev1.Kind_KIND_TEAM:
		return s.checkTeam(entry.GetName(), entry.GetTeam())
	case toucanhingev1.Kind_KIND_CONTRACT:
		return s.checkContract(entry.GetName(), entry.GetContract())
	case toucanhingev1.Kind_KIND_ORDER:
		return s.checkOrder(entry.GetName(), entry.GetOrder())
	case toucanhingev1.Kind_KIND_DRAIN:
		return s.checkDrain(entry.GetName(), entry.GetDrain())
	default:
		return refusalf(CodeInvalid, "kind: members register themselves by heartbeats")
	}
}

func checkText(key, text string) *refusal {
	if len(text) > maxTextBytes {
		return refusalf(CodeInvalid, "%s: longer than %d bytes", key, maxTextBytes)
	}
	return nil
}

func (s *State) has(kind toucanhingev1.Kind, name string) bool {
	_, found := s.Entry(kind, name)
	return found
}

func (s *State) checkLink(name string, l *toucanhingev1.Link) *refusal {
	if l.GetFrom() == l.GetTo() {
		return refusalf(CodeInvalid, "link: from and to are both %q", l.GetFrom())
	}
	for _, end := range []string{l.GetFrom(), l.GetTo()} {
		if !s.has(toucanhingev1.Kind_KIND_DATA_CENTRE, end) {
			return refusalf(CodeInvalid, "link: there is no data centre %q", end)
		}
	}
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_LINK, "", false) {
		o := e.GetLink()
		same := (o.GetFrom() == l.GetFrom() && o.GetTo() == l.GetTo()) || (o.GetFrom() == l.GetTo() && o.GetTo() == l.GetFrom())
		if same && e.GetName() != name {
			return refusalf(CodeInvalid, "link: %q joins the same data centres", e.GetName())
		}
	}
	return nil
}

func (s *State) checkService(name string, v *toucanhingev1.Service) *refusal {
	switch {
	case v.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_UNSPECIFIED:
		return refusalf(CodeInvalid, "service: the kind is missing, want model or plain")
	case v.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_MODEL && v.GetModel() == "":
		return refusalf(CodeInvalid, "service: the model name is missing")
	case v.GetKind() == toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN && v.GetModel() != "":
		return refusalf(CodeInvalid, "service: a plain service has no model")
	case v.GetOlderPercent() > maxPercent:
		return refusalf(CodeInvalid, "service: older_percent %d is not within 0 to 100", v.GetOlderPercent())
	case v.GetBatchWeight() > maxPercent:
		return refusalf(CodeInvalid, "service: batch_weight %d is not within 0 to 100", v.GetBatchWeight())
	case v.GetItemAttempts() > maxItemAttempts:
		return refusalf(CodeInvalid, "service: item_attempts %d is above %d", v.GetItemAttempts(), maxItemAttempts)
	case v.GetOlderPercent() > 0 && v.GetOlderUrl() == "":
		return refusalf(CodeInvalid, "service: older_percent needs an older_url")
	}
	if f := checkURL(v.GetOlderUrl()); f != nil {
		return f
	}
	return s.checkModelFree(name, v)
}

func checkURL(text string) *refusal {
	if text == "" {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return refusalf(CodeInvalid, "service: older_url %q is no http URL", text)
	}
	return nil
}

func (s *State) checkModelFree(name string, v *toucanhingev1.Service) *refusal {
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_SERVICE, "", false) {
		if v.GetModel() != "" && e.GetName() != name && e.GetService().GetModel() == v.GetModel() {
			return refusalf(CodeInvalid, "service: model %q belongs to service %q", v.GetModel(), e.GetName())
		}
	}
	return nil
}

func (s *State) checkTeam(name string, d *toucanhingev1.TeamRecord) *refusal {
	if d.GetRate() < 0 || math.IsNaN(d.GetRate()) || math.IsInf(d.GetRate(), 0) {
		return refusalf(CodeInvalid, "team: rate %v is no rate", d.GetRate())
	}
	if d.GetWeight() > maxWeight {
		return refusalf(CodeInvalid, "team: weight %d is above %d", d.GetWeight(), maxWeight)
	}
	owners := s.keyOwners(name)
	for _, hash := range d.GetKeyHashes() {
		if !hashPattern.MatchString(hash) {
			return refusalf(CodeInvalid, "team: a key hash is not 64 digits of lower-case hex")
		}
		if owner, found := owners[hash]; found {
			return refusalf(CodeInvalid, "team: a key belongs to team %q too", owner)
		}
		owners[hash] = name
	}
	return nil
}

func (s *State) keyOwners(except string) map[string]string {
	owners := map[string]string{}
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_TEAM, "", false) {
		if e.GetName() == except {
			continue
		}
		for _, hash := range e.GetTeam().GetKeyHashes() {
			owners[hash] = e.GetName()
		}
	}
	return owners
}

func (s *State) checkContract(name string, c *toucanhingev1.Contract) *refusal {
	if !s.has(toucanhingev1.Kind_KIND_TEAM, c.GetTeam()) {
		return refusalf(CodeInvalid, "contract: there is no team %q", c.GetTeam())
	}
	if !s.has(toucanhingev1.Kind_KIND_SERVICE, c.GetService()) {
		return refusalf(CodeInvalid, "contract: there is no service %q", c.GetService())
	}
	for _, d := range c.GetDataCentres() {
		if !s.has(toucanhingev1.Kind_KIND_DATA_CENTRE, d) {
			return refusalf(CodeInvalid, "contract: there is no data centre %q", d)
		}
	}
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_CONTRACT, "", false) {
		o := e.GetContract()
		if e.GetName() != name && o.GetTeam() == c.GetTeam() && o.GetService() == c.GetService() {
			return refusalf(CodeInvalid, "contract: %q already joins this team and service", e.GetName())
		}
	}
	return nil
}

func (s *State) checkOrder(name string, o *toucanhingev1.Order) *refusal {
	if o.GetEndpoint() != name {
		return refusalf(CodeInvalid, "order: its name must be its endpoint's, %q", o.GetEndpoint())
	}
	e, found := s.Entry(toucanhingev1.Kind_KIND_MEMBER, name)
	if !found || e.GetMember().GetRole() != toucanhingev1.Role_ROLE_SIDECAR {
		return refusalf(CodeInvalid, "order: there is no endpoint %q", name)
	}
	needed := map[toucanhingev1.OrderKind]string{
		toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL:   o.GetModel(),
		toucanhingev1.OrderKind_ORDER_KIND_LOAD_ADAPTER: o.GetAdapter(),
		toucanhingev1.OrderKind_ORDER_KIND_SET_VERSION:  o.GetModelVersion(),
		toucanhingev1.OrderKind_ORDER_KIND_SET_ROLE:     o.GetEngineRole(),
	}
	if needed[o.GetKind()] == "" {
		return refusalf(CodeInvalid, "order: %s lacks what it is to set", o.GetKind())
	}
	return nil
}

func (s *State) checkDrain(name string, d *toucanhingev1.Drain) *refusal {
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_MEMBER, "", false) {
		if e.GetName() == name || e.GetMember().GetVm() == name {
			return checkText("reason", d.GetReason())
		}
	}
	return refusalf(CodeInvalid, "drain: there is no member and no VM %q", name)
}

// checkRemoval refuses to remove an entry that another entry refers to, or a live member.
func (s *State) checkRemoval(entry *toucanhingev1.Entry) *refusal {
	name := entry.GetName()
	for _, e := range s.Entries(toucanhingev1.Kind_KIND_UNSPECIFIED, "", false) {
		if refersTo(e, entry.GetKind(), name) {
			return refusalf(CodeInUse, "%s %q refers to it", e.GetKind(), e.GetName())
		}
	}
	if entry.GetKind() != toucanhingev1.Kind_KIND_MEMBER {
		return nil
	}
	e, _ := s.Entry(toucanhingev1.Kind_KIND_MEMBER, name)
	if e.GetMember().GetState() != toucanhingev1.MemberState_MEMBER_STATE_DEAD {
		return refusalf(CodeInUse, "the member still sends heartbeats")
	}
	return nil
}

func refersTo(e *toucanhingev1.Entry, kind toucanhingev1.Kind, name string) bool {
	switch kind {
	case toucanhingev1.Kind_KIND_DATA_CENTRE:
		if e.GetLink().GetFrom() == name || e.GetLink().GetTo() == name || e.GetMember().GetDataCentre() == name {
			return true
		}
		for _, d := range e.GetContract().GetDataCentres() {
			if d == name {
				return true
			}
		}
		return false
	case toucanhingev1.Kind_KIND_SERVICE:
		return e.GetContract().GetService() == name
	case toucanhingev1.Kind_KIND_TEAM:
		return e.GetContract().GetTeam() == name
	default:
		return false
	}
}
