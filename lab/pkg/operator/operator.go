// Package operator is a client for the operator calls that demos, failure tests and
// experiments need.
package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"toucanhinge.example/common/pkg/control"
	"toucanhinge.example/common/pkg/fleetconfig"
	"toucanhinge.example/common/pkg/web"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ErrRefused is returned for a configuration change that control did not accept.
var ErrRefused = errors.New("refused")

// author is recorded as the author of all changes.
const author = "lab"

// Config configures an Operator.
type Config struct {
	// Controls are the addresses of the control VMs.
	Controls []string
	// HTTP is the client to use. If nil, New creates one.
	HTTP *http.Client
}

// Operator makes operator calls to control.
type Operator struct {
	client *control.Client
}

// New returns an Operator.
func New(config Config) *Operator {
	if config.HTTP == nil {
		config.HTTP = web.NewClient()
	}
	return &Operator{client: control.New(control.Config{Addresses: config.Controls, HTTP: config.HTTP})}
}

// Client returns the underlying control client.
func (o *Operator) Client() *control.Client { return o.client }

// Apply creates or changes one entry, based on its current version.
func (o *Operator) Apply(ctx context.Context, entry *toucanhingev1.Entry) (*toucanhingev1.Entry, error) {
	base, err := o.currentVersion(ctx, entry.GetKind(), entry.GetName())
	if err != nil {
		return nil, err
	}
	return o.ApplyWithBase(ctx, rand.Text(), base, entry)
}

// ApplyWithBase applies a change with the given request id and base version. If the change is
// refused, it returns the entry that prevailed and ErrRefused.
func (o *Operator) ApplyWithBase(ctx context.Context, id string, base uint64, entry *toucanhingev1.Entry) (*toucanhingev1.Entry, error) {
	request := &toucanhingev1.ApplyRequest{RequestId: id, BaseVersion: base, Entry: entry, Author: author}
	response, err := control.Call(ctx, o.client, 0, "apply",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ApplyResponse], error) {
			return r.Operators.Apply(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("apply entry %s: %w", entry.GetName(), err)
	}
	if !response.Msg.GetAccepted() {
		return response.Msg.GetEntry(), fmt.Errorf("apply entry %s: %s: %w", entry.GetName(), response.Msg.GetReason(), ErrRefused)
	}
	return response.Msg.GetEntry(), nil
}

// Entries lists the accepted configuration. An unspecified kind or an empty name matches all entries.
func (o *Operator) Entries(ctx context.Context, kind toucanhingev1.Kind, name string) ([]*toucanhingev1.Entry, error) {
	request := &toucanhingev1.ListEntriesRequest{Kind: kind, Name: name}
	response, err := control.Call(ctx, o.client, 0, "list",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ListEntriesResponse], error) {
			return r.Operators.ListEntries(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("list entries of kind %s, name %q: %w", kind, name, err)
	}
	return response.Msg.GetEntries(), nil
}

// currentVersion returns the version of an entry, or 0 if it does not exist.
func (o *Operator) currentVersion(ctx context.Context, kind toucanhingev1.Kind, name string) (uint64, error) {
	entries, err := o.Entries(ctx, kind, name)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		if e.GetName() == name {
			return e.GetVersion(), nil
		}
	}
	return 0, nil
}

// ConfigStatus returns the configuration version that each process applies.
func (o *Operator) ConfigStatus(ctx context.Context) (*toucanhingev1.ConfigStatusResponse, error) {
	response, err := control.Call(ctx, o.client, 0, "status",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ConfigStatusResponse], error) {
			return r.Operators.ConfigStatus(ctx, connect.NewRequest(&toucanhingev1.ConfigStatusRequest{}))
		})
	if err != nil {
		return nil, fmt.Errorf("config status: %w", err)
	}
	return response.Msg, nil
}

// GroupStatus returns the state of the consensus groups as one replica reports it.
func (o *Operator) GroupStatus(ctx context.Context, address string) (*toucanhingev1.GroupStatusResponse, error) {
	request := connect.NewRequest(&toucanhingev1.GroupStatusRequest{})
	response, err := o.client.Replica(address).Operators.GroupStatus(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("group status of %s: %w", address, err)
	}
	return response.Msg, nil
}

// ChangeReplica adds, promotes or removes one replica in every consensus group.
func (o *Operator) ChangeReplica(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error {
	_, err := control.Call(ctx, o.client, 0, "change replica",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ChangeReplicaResponse], error) {
			return r.Operators.ChangeReplica(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return fmt.Errorf("change replica: %s of %s: %w", request.GetChange(), request.GetName(), err)
	}
	return nil
}

// DataCentreEntry returns the configuration entry of a data centre.
func DataCentreEntry(name, region string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: name,
		Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: region}},
	}
}

// LinkEntry returns the configuration entry of a network link between two data centres.
func LinkEntry(from, to string, latencyUS uint32) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_LINK, Name: from + "-" + to,
		Body: &toucanhingev1.Entry_Link{Link: &toucanhingev1.Link{From: from, To: to, LatencyUs: latencyUS}},
	}
}

// ModelServiceEntry returns the configuration entry of a model service.
func ModelServiceEntry(name string, service *toucanhingev1.Service) *toucanhingev1.Entry {
	service.Kind = toucanhingev1.ServiceKind_SERVICE_KIND_MODEL
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{Service: service},
	}
}

// PlainServiceEntry returns the configuration entry of a plain service.
func PlainServiceEntry(name string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{
			Service: &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN},
		},
	}
}

// TeamEntry returns the configuration entry of a team with one key and no limits.
func TeamEntry(name, key string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_TEAM, Name: name,
		Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{KeyHashes: []string{fleetconfig.HashKey(key)}}},
	}
}

// ContractEntry returns the configuration entry that allows a team online and batch use of a service.
func ContractEntry(team, service string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: team + "-" + service, Body: &toucanhingev1.Entry_Contract{
			Contract: &toucanhingev1.Contract{Team: team, Service: service, Online: true, Batch: true},
		},
	}
}
