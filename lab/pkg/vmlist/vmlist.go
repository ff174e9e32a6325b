// Package vmlist simulates the platform's list of live and leaving VMs. Its responses lag
// behind the updates by a configured time.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// States of a VM in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

const maxBodyBytes = 1 << 20

// VM is one entry of the list.
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// snapshot is the content of the list since publishedAt.
type snapshot struct {
	publishedAt time.Time
	vms         []VM
}

// List is a simulated VM list.
type List struct {
	lag       time.Duration
	mu        sync.Mutex
	snapshots []snapshot
}

// Config configures a List.
type Config struct {
	// Lag is the time until an update becomes visible in responses.
	Lag time.Duration
	// VMs is the initial list, which is visible at once.
	VMs []VM
}

// New returns a List.
func New(config Config) *List {
	return &List{lag: config.Lag, snapshots: []snapshot{{vms: config.VMs}}}
}

// Handler serves GET /vms, PUT /vms (replaces the list), PUT /vms/NAME (sets the state of
// one VM) and GET /health.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.handleGet)
	mux.HandleFunc("PUT /vms", l.handlePut)
	mux.HandleFunc("PUT /vms/{name}", l.handlePutOne)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

func (l *List) handleGet(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	visible := l.snapshots[0].vms
	for _, v := range l.snapshots {
		if time.Since(v.publishedAt) >= l.lag {
			visible = v.vms
		}
	}
	l.mu.Unlock()
	if visible == nil {
		visible = []VM{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(visible)
}

func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	var vms []VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	l.snapshots = append(l.snapshots, snapshot{publishedAt: time.Now(), vms: vms})
	l.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) handlePutOne(w http.ResponseWriter, r *http.Request) {
	vm := VM{Name: r.PathValue("name")}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.snapshots[len(l.snapshots)-1].vms
	vms := make([]VM, 0, len(latest)+1)
	for _, v := range latest {
		if v.Name != vm.Name {
			vms = append(vms, v)
		}
	}
	l.snapshots = append(l.snapshots, snapshot{publishedAt: time.Now(), vms: append(vms, vm)})
	w.WriteHeader(http.StatusNoContent)
}
