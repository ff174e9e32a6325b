package app

import (
	"fmt"
	"sort"
	"strings"

	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

var kinds = map[string]toucanhingev1.Kind{
	"data-centre": toucanhingev1.Kind_KIND_DATA_CENTRE,
	"link":        toucanhingev1.Kind_KIND_LINK,
	"service":     toucanhingev1.Kind_KIND_SERVICE,
	"team":        toucanhingev1.Kind_KIND_TEAM,
	"contract":    toucanhingev1.Kind_KIND_CONTRACT,
	"member":      toucanhingev1.Kind_KIND_MEMBER,
	"order":       toucanhingev1.Kind_KIND_ORDER,
	"drain":       toucanhingev1.Kind_KIND_DRAIN,
}

var orderKinds = map[string]toucanhingev1.OrderKind{
	"load-model":   toucanhingev1.OrderKind_ORDER_KIND_LOAD_MODEL,
	"load-adapter": toucanhingev1.OrderKind_ORDER_KIND_LOAD_ADAPTER,
	"set-version":  toucanhingev1.OrderKind_ORDER_KIND_SET_VERSION,
	"set-role":     toucanhingev1.OrderKind_ORDER_KIND_SET_ROLE,
}

func parseKind(name string, allowEmpty bool) (toucanhingev1.Kind, error) {
	if name == "" && allowEmpty {
		return toucanhingev1.Kind_KIND_UNSPECIFIED, nil
	}
	if kind, found := kinds[name]; found {
		return kind, nil
	}
	known := make([]string, 0, len(kinds))
	for k := range kinds {
		known = append(known, k)
	}
	sort.Strings(known)
	return 0, &usageError{fmt.Sprintf("unknown kind %q, want one of %s", name, strings.Join(known, ", "))}
}

// entryOf builds the entry that a put, remove, order, drain or undrain command submits.
func entryOf(a *Arguments) (*toucanhingev1.Entry, ChangeOptions, error) {
	switch {
	case a.Put != nil:
		return putEntry(a.Put)
	case a.Remove != nil:
		kind, err := parseKind(a.Remove.Kind, false)
		return &toucanhingev1.Entry{Kind: kind, Name: a.Remove.Name, Removed: true}, a.Remove.ChangeOptions, err
	case a.Order != nil:
		return orderEntry(a.Order)
	case a.Drain != nil:
		return &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_DRAIN, Name: a.Drain.Name,
			Body: &toucanhingev1.Entry_Drain{Drain: &toucanhingev1.Drain{Reason: a.Drain.Reason}},
		}, a.Drain.ChangeOptions, nil
	default:
		return &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_DRAIN, Name: a.Undrain.Name, Removed: true,
		}, a.Undrain.ChangeOptions, nil
	}
}

func putEntry(p *PutCommand) (*toucanhingev1.Entry, ChangeOptions, error) {
	switch {
	case p.DataCentre != nil:
		return &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: p.DataCentre.Name,
			Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: p.DataCentre.Region}},
		}, p.DataCentre.ChangeOptions, nil
	case p.Link != nil:
		return &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_LINK, Name: p.Link.From + "--" + p.Link.To,
			Body: &toucanhingev1.Entry_Link{Link: &toucanhingev1.Link{
				From: p.Link.From, To: p.Link.To, LatencyUs: p.Link.LatencyUS,
			}},
		}, p.Link.ChangeOptions, nil
	case p.Service != nil:
		return serviceEntry(p.Service), p.Service.ChangeOptions, nil
	case p.Team != nil:
		return teamEntry(p.Team), p.Team.ChangeOptions, nil
	case p.Contract != nil:
		c := p.Contract
		return &toucanhingev1.Entry{
			Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: c.Name,
			Body: &toucanhingev1.Entry_Contract{Contract: &toucanhingev1.Contract{
				Team: c.Team, Service: c.Service, Online: c.Online, Batch: c.Batch, DataCentres: c.DataCentres,
			}},
		}, c.ChangeOptions, nil
	default:
		return nil, ChangeOptions{}, &usageError{"put needs one of data-centre, link, service, team, contract"}
	}
}

func serviceEntry(s *PutService) *toucanhingev1.Entry {
	kind := toucanhingev1.ServiceKind_SERVICE_KIND_MODEL
	if s.Plain {
		kind = toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN
	}
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: s.Name,
		Body: &toucanhingev1.Entry_Service{Service: &toucanhingev1.Service{
			Kind: kind, Model: s.Model, OlderPercent: s.LegacyPercent, OlderUrl: s.LegacyURL,
			ItemAttempts: s.Attempts, BatchWeight: s.BatchWeight, DeadlineMs: s.DeadlineMS,
		}},
	}
}

func teamEntry(t *PutTeam) *toucanhingev1.Entry {
	hashes := make([]string, 0, len(t.Keys))
	for _, key := range t.Keys {
		hashes = append(hashes, fleetconfig.HashKey(key))
	}
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_TEAM, Name: t.Name,
		Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{
			KeyHashes: hashes, Rate: t.Rate, Burst: t.Burst, InFlight: t.InFlight, Weight: t.Weight,
		}},
	}
}

func orderEntry(o *OrderCommand) (*toucanhingev1.Entry, ChangeOptions, error) {
	kind, found := orderKinds[o.What]
	if !found {
		return nil, ChangeOptions{}, &usageError{
			fmt.Sprintf("an order is load-model, load-adapter, set-version or set-role, not %q", o.What),
		}
	}
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_ORDER, Name: o.Endpoint,
		Body: &toucanhingev1.Entry_Order{Order: &toucanhingev1.Order{
			Endpoint: o.Endpoint, Kind: kind, Model: o.Model, Adapter: o.Adapter,
			ModelVersion: o.Version, EngineRole: o.Role,
		}},
	}, o.ChangeOptions, nil
}
