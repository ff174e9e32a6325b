package fleet

import (
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protowire"

	"toucanhinge.example/lab/pkg/operator"
	"toucanhinge.example/lab/pkg/relay"
)

// vmListLag keeps tests short; the real list lags by more.
const vmListLag = "200"

// vmListPoll in milliseconds goes with that lag.
const vmListPoll = 200

// plainSlots is how many calls a plain service takes at once.
const plainSlots = 64

func (f *Fleet) addVMList() error {
	address, err := f.address(portVMList, 0)
	if err != nil {
		return err
	}
	f.VMList = newNode(f.Config, "vmlist", "vmlist", address, "--listen", address, "--lag-ms", vmListLag)
	f.VMList.ReadyURL = f.VMList.URL() + "/health"
	return nil
}

func (f *Fleet) addControls() error {
	for i := range f.Config.Controls {
		address, err := f.address(portControl, i)
		if err != nil {
			return err
		}
		n := f.systemNode("control", i, address, address)
		n.DataFolder = filepath.Join(f.Config.Folder, n.Name+"-data")
		f.Controls = append(f.Controls, n)
	}
	f.Operator = operator.New(operator.Config{Controls: f.ControlAddresses()})
	if f.Config.Relayed {
		if err := f.addRelays(); err != nil {
			return err
		}
	}
	for _, n := range f.Controls {
		if err := f.writeControl(n); err != nil {
			return err
		}
	}
	return nil
}

// addRelays puts a relay before each control. All controls must agree on their
// addresses, so one relay serves all others and tells them apart by what they send.
func (f *Fleet) addRelays() error {
	for _, to := range f.Controls {
		r, err := relay.New(relay.Config{Listen: "127.0.0.1:0", Target: to.Address, Callers: f.controlMarks()})
		if err != nil {
			return fmt.Errorf("relay to %s: %w", to.Name, err)
		}
		f.Relays = append(f.Relays, r)
	}
	return nil
}

// controlMarks tells the controls apart: each call between them begins with the
// sender's name as its first field.
func (f *Fleet) controlMarks() []relay.Caller {
	var callers []relay.Caller
	for _, n := range f.Controls {
		mark := protowire.AppendTag(nil, 1, protowire.BytesType)
		callers = append(callers, relay.Caller{Name: n.Name, Mark: protowire.AppendString(mark, n.Name)})
	}
	return callers
}

// Cut puts faults on the way from one control to another; the zero Faults end them.
func (f *Fleet) Cut(from, to int, faults relay.Faults) {
	f.Relays[to].SetFrom(f.Controls[from].Name, faults)
}

// Isolate cuts one control from the other controls, both ways; everybody else
// still reaches it.
func (f *Fleet) Isolate(control int, faults relay.Faults) {
	for other := range f.Controls {
		if other != control {
			f.Cut(control, other, faults)
			f.Cut(other, control, faults)
		}
	}
}

// StartJoiningControl starts one more control, as one that joins the controls which exist. It
// takes part only when it is added as an operator does.
func (f *Fleet) StartJoiningControl() (*Node, error) {
	i := len(f.Controls)
	address, err := f.address(portControl, i)
	if err != nil {
		return nil, err
	}
	n := f.systemNode("control", i, address, address)
	n.DataFolder = filepath.Join(f.Config.Folder, n.Name+"-data")
	f.Controls = append(f.Controls, n)
	if err := f.writeControl(n, Set("consensus.join", true)); err != nil {
		return nil, err
	}
	return n, n.Start()
}

func (f *Fleet) writeControl(n *Node, further ...Setting) error {
	peers := make([]Table, 0, len(f.Controls))
	for j, other := range f.Controls {
		address := other.Address
		if f.Relays != nil {
			address = f.Relays[j].Address()
		}
		peers = append(peers, Table{Set("name", other.Name), Set("address", address)})
	}
	settings := []Setting{
		Set("name", n.Name), Set("listen", n.Address), Set("vm", n.VM), Set("data_centre", n.DataCentre),
		Set("data_folder", n.DataFolder), Set("peers", peers), Set("groups", 1+f.Config.JobGroups),
		Set("platform.vm_list_url", f.VMList.URL()+"/vms"), Set("platform.poll_ms", vmListPoll),
	}
	settings = append(settings, f.Config.ControlSettings...)
	return f.write(n, append(settings, further...))
}

func (f *Fleet) addGateways() error {
	for i := range f.Config.Gateways {
		address, admin, err := f.addresses(portGateway, portGatewayAdmin, i)
		if err != nil {
			return err
		}
		n := f.systemNode("gateway", i, address, admin)
		f.Gateways = append(f.Gateways, n)
		control, err := f.controlFor(n)
		if err != nil {
			return err
		}
		settings := append(f.common(n), Set("control", control), Set("drain.balancer_ms", 300))
		if err := f.write(n, append(settings, f.Config.GatewaySettings...)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addEngines() error {
	for i := range f.Config.Sidecars {
		address, err := f.address(portEngine, i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("engine-%d", i+1)
		n := newNode(f.Config, name, "engine", address, f.Config.Engine.arguments(name, address)...)
		n.ReadyURL = n.URL() + "/health"
		f.Engines = append(f.Engines, n)
		own := []Setting{
			Set("service", ModelService), Set("engine.url", n.URL()), Set("engine.slots", f.Config.Engine.Slots),
			Set("batch.slots", f.Config.Engine.Slots),
		}
		sidecar, err := f.addSidecar(i, own)
		if err != nil {
			return err
		}
		f.Sidecars = append(f.Sidecars, sidecar)
	}
	return nil
}

func (f *Fleet) addPlains() error {
	for i := range f.Config.PlainServices {
		address, err := f.address(portPlain, i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("plain-%d", i+1)
		n := newNode(f.Config, name, "plain", address, "--listen", address, "--name", name)
		n.ReadyURL = n.URL() + "/health"
		f.PlainServices = append(f.PlainServices, n)
		sidecar, err := f.addSidecar(f.Config.Sidecars+i, []Setting{
			Set("service", PlainService), Set("engine.url", n.URL()), Set("kind", "plain"), Set("engine.slots", plainSlots),
		})
		if err != nil {
			return err
		}
		f.PlainSidecars = append(f.PlainSidecars, sidecar)
	}
	return nil
}

// addSidecar adds the sidecar of an endpoint; number counts over all kinds.
func (f *Fleet) addSidecar(number int, own []Setting) (*Node, error) {
	address, admin, err := f.addresses(portSidecar, portSidecarAdmin, number)
	if err != nil {
		return nil, err
	}
	n := f.systemNode("sidecar", number, address, admin)
	control, err := f.controlFor(n)
	if err != nil {
		return nil, err
	}
	settings := append(f.common(n), Set("control", control))
	settings = append(settings, own...)
	return n, f.write(n, append(settings, f.Config.SidecarSettings...))
}

func (f *Fleet) systemNode(binary string, i int, address, admin string) *Node {
	name := fmt.Sprintf("%s-%d", binary, i+1)
	n := newNode(f.Config, name, binary, address, "--settings", f.settingsFile(name))
	n.AdminAddress = admin
	n.DataCentre = f.Config.dataCentre(i)
	n.ReadyURL = "http://" + admin + "/readyz"
	return n
}

func (f *Fleet) settingsFile(name string) string {
	return filepath.Join(f.Config.Folder, name+".toml")
}

func (f *Fleet) write(n *Node, settings []Setting) error {
	return writeSettings(f.settingsFile(n.Name), settings...)
}

// common is what every daemon is told.
func (f *Fleet) common(n *Node) []Setting {
	return []Setting{
		Set("name", n.Name), Set("listen", n.Address), Set("admin_listen", n.AdminAddress),
		Set("vm", n.VM), Set("data_centre", n.DataCentre),
	}
}

// controlFor is the controls' addresses as a daemon is told them: with
// CountControl, those of relays of its own.
func (f *Fleet) controlFor(n *Node) ([]string, error) {
	if !f.Config.CountControlBytes {
		return f.ControlAddresses(), nil
	}
	var addresses []string
	for _, to := range f.Controls {
		r, err := relay.New(relay.Config{Listen: "127.0.0.1:0", Target: to.Address})
		if err != nil {
			return nil, fmt.Errorf("relay to %s: %w", to.Name, err)
		}
		n.control = append(n.control, r)
		addresses = append(addresses, r.Address())
	}
	return addresses, nil
}

// ControlBytes counts the bytes between a daemon and the controls since the
// start. With several controls a daemon that was told of a leader goes there
// directly, past the count; so count with one.
func (f *Fleet) ControlBytes(n *Node) int64 {
	total := int64(0)
	for _, r := range n.control {
		total += r.Bytes()
	}
	return total
}
