// Package operator makes the operators' calls that demos, failure tests and
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
	"toucanhinge.example/common/pkg/web"
	"toucanhinge.example/common/pkg/fleetconfig"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// ErrRefused is a change that control did not accept.
var ErrRefused = errors.New("refused")

const author = "lab"

// Config is how an operator reaches control.
type Config struct {
	// Controls are the control VMs' addresses.
	Controls []string
	HTTP     *http.Client
}

// Operator makes the calls.
type Operator struct {
	client *control.Client
}

// New makes an operator; without an HTTP client it takes its own.
func New(config Config) *Operator {
	if config.HTTP == nil {
		config.HTTP = web.NewClient()
	}
	return &Operator{client: control.New(control.Config{Addresses: config.Controls, HTTP: config.HTTP})}
}

// Client is the control client underneath.
func (o *Operator) Client() *control.Client { return o.client }

// Apply makes one change of a new or changed entry, based on what is in force.
func (o *Operator) Apply(ctx context.Context, entry *toucanhingev1.Entry) (*toucanhingev1.Entry, error) {
	base, err := o.version(ctx, entry.GetKind(), entry.GetName())
	if err != nil {
		return nil, err
	}
	return o.ApplyWithBase(ctx, rand.Text(), base, entry)
}

// ApplyWithBase makes one change under a request id and on a base version; a refused
// change gives the winner and ErrRefused.
func (o *Operator) ApplyWithBase(ctx context.Context, id string, base uint64, entry *toucanhingev1.Entry) (*toucanhingev1.Entry, error) {
	request := &toucanhingev1.ApplyRequest{RequestId: id, BaseVersion: base, Entry: entry, Author: author}
	answer, err := control.Call(ctx, o.client, 0, "apply",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ApplyResponse], error) {
			return r.Operators.Apply(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("apply %s: %w", entry.GetName(), err)
	}
	if !answer.Msg.GetAccepted() {
		return answer.Msg.GetEntry(), fmt.Errorf("apply %s: %s: %w", entry.GetName(), answer.Msg.GetReason(), ErrRefused)
	}
	return answer.Msg.GetEntry(), nil
}

// Entries reads the accepted configuration; an unspecified kind and an empty name mean all.
func (o *Operator) Entries(ctx context.Context, kind toucanhingev1.Kind, name string) ([]*toucanhingev1.Entry, error) {
	request := &toucanhingev1.ListEntriesRequest{Kind: kind, Name: name}
	answer, err := control.Call(ctx, o.client, 0, "list",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ListEntriesResponse], error) {
			return r.Operators.ListEntries(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return nil, fmt.Errorf("list %s %s: %w", kind, name, err)
	}
	return answer.Msg.GetEntries(), nil
}

func (o *Operator) version(ctx context.Context, kind toucanhingev1.Kind, name string) (uint64, error) {
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

// ConfigStatus tells which process has which configuration in force.
func (o *Operator) ConfigStatus(ctx context.Context) (*toucanhingev1.ConfigStatusResponse, error) {
	answer, err := control.Call(ctx, o.client, 0, "status",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ConfigStatusResponse], error) {
			return r.Operators.ConfigStatus(ctx, connect.NewRequest(&toucanhingev1.ConfigStatusRequest{}))
		})
	if err != nil {
		return nil, fmt.Errorf("config status: %w", err)
	}
	return answer.Msg, nil
}

// GroupStatus asks one replica how it sees its consensus groups.
func (o *Operator) GroupStatus(ctx context.Context, address string) (*toucanhingev1.GroupStatusResponse, error) {
	request := connect.NewRequest(&toucanhingev1.GroupStatusRequest{})
	answer, err := o.client.Replica(address).Operators.GroupStatus(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("group status of %s: %w", address, err)
	}
	return answer.Msg, nil
}

// ChangeReplica adds, promotes or removes one replica of every group.
func (o *Operator) ChangeReplica(ctx context.Context, request *toucanhingev1.ChangeReplicaRequest) error {
	_, err := control.Call(ctx, o.client, 0, "change replica",
		func(ctx context.Context, r *control.Replica) (*connect.Response[toucanhingev1.ChangeReplicaResponse], error) {
			return r.Operators.ChangeReplica(ctx, connect.NewRequest(request))
		})
	if err != nil {
		return fmt.Errorf("%s of %s: %w", request.GetChange(), request.GetName(), err)
	}
	return nil
}

// DataCentreEntry is the entry of one data centre.
func DataCentreEntry(name, region string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_DATA_CENTRE, Name: name,
		Body: &toucanhingev1.Entry_DataCentre{DataCentre: &toucanhingev1.DataCentre{Region: region}},
	}
}

// LinkEntry is the entry of one link.
func LinkEntry(from, to string, latencyUS uint32) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_LINK, Name: from + "-" + to,
		Body: &toucanhingev1.Entry_Link{Link: &toucanhingev1.Link{From: from, To: to, LatencyUs: latencyUS}},
	}
}

// ModelServiceEntry is the entry of a model service.
func ModelServiceEntry(name string, service *toucanhingev1.Service) *toucanhingev1.Entry {
	service.Kind = toucanhingev1.ServiceKind_SERVICE_KIND_MODEL
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{Service: service},
	}
}

// PlainServiceEntry is the entry of a plain service.
func PlainServiceEntry(name string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_SERVICE, Name: name, Body: &toucanhingev1.Entry_Service{
			Service: &toucanhingev1.Service{Kind: toucanhingev1.ServiceKind_SERVICE_KIND_PLAIN},
		},
	}
}

// TeamEntry is the entry of a team with one key and no limits.
func TeamEntry(name, key string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_TEAM, Name: name,
		Body: &toucanhingev1.Entry_Team{Team: &toucanhingev1.TeamRecord{KeyHashes: []string{fleetconfig.HashKey(key)}}},
	}
}

// ContractEntry is the entry that lets a team use a service in every way.
func ContractEntry(team, service string) *toucanhingev1.Entry {
	return &toucanhingev1.Entry{
		Kind: toucanhingev1.Kind_KIND_CONTRACT, Name: team + "-" + service, Body: &toucanhingev1.Entry_Contract{
			Contract: &toucanhingev1.Contract{Team: team, Service: service, Online: true, Batch: true},
		},
	}
}
