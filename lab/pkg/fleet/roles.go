package fleet

import (
	"fmt"
	"path/filepath"

	"google.golang.org/protobuf/encoding/protowire"

	"toucanhinge.example/lab/pkg/operator"
	"toucanhinge.example/lab/pkg/relay"
)

// vmListLagMs keeps tests short. The list of a real platform lags by more.
const vmListLagMs = "200"

// vmListPollMs is the poll interval of the control VMs, matched to vmListLagMs.
const vmListPollMs = 200

// plainServiceSlots is the number of calls that a plain service runs concurrently.
const plainServiceSlots = 64

func (f *Fleet) addVMList() error {
	address, err := f.nodeAddress(portVMList, 0)
	if err != nil {
		return err
	}
	f.VMList = newNode(f.Config, "vmlist", "vmlist", address, "--listen", address, "--lag-ms", vmListLagMs)
	f.VMList.ReadyURL = f.VMList.URL() + "/health"
	return nil
}

func (f *Fleet) addControls() error {
	for i := range f.Config.Controls {
		address, err := f.nodeAddress(portControl, i)
		if err != nil {
			return err
		}
		n := f.newSystemNode("control", i, address, address)
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
		if err := f.writeControlSettings(n); err != nil {
			return err
		}
	}
	return nil
}

// addRelays puts a relay in front of each control VM. All control VMs must use the same
// addresses, so one relay serves all other VMs and identifies each of them by the name in its calls.
func (f *Fleet) addRelays() error {
	for _, target := range f.Controls {
		r, err := relay.New(relay.Config{Listen: "127.0.0.1:0", Target: target.Address, Callers: f.controlCallers()})
		if err != nil {
			return fmt.Errorf("start relay to %s: %w", target.Name, err)
		}
		f.Relays = append(f.Relays, r)
	}
	return nil
}

// controlCallers returns the markers by which a relay identifies the calling control VM: each
// call between control VMs begins with the name of the sender as its first field.
func (f *Fleet) controlCallers() []relay.Caller {
	var callers []relay.Caller
	for _, n := range f.Controls {
		marker := protowire.AppendTag(nil, 1, protowire.BytesType)
		callers = append(callers, relay.Caller{Name: n.Name, Mark: protowire.AppendString(marker, n.Name)})
	}
	return callers
}

// Cut applies faults to the traffic from one control VM to another. The zero Faults remove them.
func (f *Fleet) Cut(from, to int, faults relay.Faults) {
	f.Relays[to].SetFrom(f.Controls[from].Name, faults)
}

// Isolate applies faults to the traffic between one control VM and the others in both
// directions. Daemons and operators still reach it.
func (f *Fleet) Isolate(control int, faults relay.Faults) {
	for other := range f.Controls {
		if other != control {
			f.Cut(control, other, faults)
			f.Cut(other, control, faults)
		}
	}
}

// StartJoiningControl starts an additional control VM in join mode. It becomes a member
// only when an operator adds it.
func (f *Fleet) StartJoiningControl() (*Node, error) {
	i := len(f.Controls)
	address, err := f.nodeAddress(portControl, i)
	if err != nil {
		return nil, err
	}
	n := f.newSystemNode("control", i, address, address)
	n.DataFolder = filepath.Join(f.Config.Folder, n.Name+"-data")
	f.Controls = append(f.Controls, n)
	if err := f.writeControlSettings(n, Set("consensus.join", true)); err != nil {
		return nil, err
	}
	return n, n.Start()
}

func (f *Fleet) writeControlSettings(n *Node, overrides ...Setting) error {
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
		Set("platform.vm_list_url", f.VMList.URL()+"/vms"), Set("platform.poll_ms", vmListPollMs),
	}
	settings = append(settings, f.Config.ControlSettings...)
	return f.writeNodeSettings(n, append(settings, overrides...))
}

func (f *Fleet) addGateways() error {
	for i := range f.Config.Gateways {
		address, admin, err := f.nodeAddresses(portGateway, portGatewayAdmin, i)
		if err != nil {
			return err
		}
		n := f.newSystemNode("gateway", i, address, admin)
		f.Gateways = append(f.Gateways, n)
		control, err := f.controlAddressesFor(n)
		if err != nil {
			return err
		}
		settings := append(f.commonSettings(n), Set("control", control), Set("drain.balancer_ms", 300))
		if err := f.writeNodeSettings(n, append(settings, f.Config.GatewaySettings...)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addEngines() error {
	for i := range f.Config.Sidecars {
		address, err := f.nodeAddress(portEngine, i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("engine-%d", i+1)
		n := newNode(f.Config, name, "engine", address, f.Config.Engine.arguments(name, address)...)
		n.ReadyURL = n.URL() + "/health"
		f.Engines = append(f.Engines, n)
		settings := []Setting{
			Set("service", ModelService), Set("engine.url", n.URL()), Set("engine.slots", f.Config.Engine.Slots),
			Set("batch.slots", f.Config.Engine.Slots),
		}
		sidecar, err := f.addSidecar(i, settings)
		if err != nil {
			return err
		}
		f.Sidecars = append(f.Sidecars, sidecar)
	}
	return nil
}

func (f *Fleet) addPlainServices() error {
	for i := range f.Config.PlainServices {
		address, err := f.nodeAddress(portPlain, i)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("plain-%d", i+1)
		n := newNode(f.Config, name, "plain", address, "--listen", address, "--name", name)
		n.ReadyURL = n.URL() + "/health"
		f.PlainServices = append(f.PlainServices, n)
		sidecar, err := f.addSidecar(f.Config.Sidecars+i, []Setting{
			Set("service", PlainService), Set("engine.url", n.URL()), Set("kind", "plain"), Set("engine.slots", plainServiceSlots),
		})
		if err != nil {
			return err
		}
		f.PlainSidecars = append(f.PlainSidecars, sidecar)
	}
	return nil
}

// addSidecar adds the sidecar of an endpoint. number is unique over engines and plain services.
func (f *Fleet) addSidecar(number int, endpointSettings []Setting) (*Node, error) {
	address, admin, err := f.nodeAddresses(portSidecar, portSidecarAdmin, number)
	if err != nil {
		return nil, err
	}
	n := f.newSystemNode("sidecar", number, address, admin)
	control, err := f.controlAddressesFor(n)
	if err != nil {
		return nil, err
	}
	settings := append(f.commonSettings(n), Set("control", control))
	settings = append(settings, endpointSettings...)
	return n, f.writeNodeSettings(n, append(settings, f.Config.SidecarSettings...))
}

func (f *Fleet) newSystemNode(binary string, i int, address, admin string) *Node {
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

func (f *Fleet) writeNodeSettings(n *Node, settings []Setting) error {
	return writeSettings(f.settingsFile(n.Name), settings...)
}

// commonSettings returns the settings that every daemon gets.
func (f *Fleet) commonSettings(n *Node) []Setting {
	return []Setting{
		Set("name", n.Name), Set("listen", n.Address), Set("admin_listen", n.AdminAddress),
		Set("vm", n.VM), Set("data_centre", n.DataCentre),
	}
}

// controlAddressesFor returns the addresses of the control VMs for the settings of a daemon.
// With CountControlBytes these are the addresses of relays of its own.
func (f *Fleet) controlAddressesFor(n *Node) ([]string, error) {
	if !f.Config.CountControlBytes {
		return f.ControlAddresses(), nil
	}
	var addresses []string
	for _, target := range f.Controls {
		r, err := relay.New(relay.Config{Listen: "127.0.0.1:0", Target: target.Address})
		if err != nil {
			return nil, fmt.Errorf("start relay to %s: %w", target.Name, err)
		}
		n.controlRelays = append(n.controlRelays, r)
		addresses = append(addresses, r.Address())
	}
	return addresses, nil
}

// ControlBytes returns the number of bytes between a daemon and the control VMs since the
// start. Use it with a single control VM: with several, a daemon that learns the leader's
// address connects to it directly and bypasses the counting relays.
func (f *Fleet) ControlBytes(n *Node) int64 {
	total := int64(0)
	for _, r := range n.controlRelays {
		total += r.Bytes()
	}
	return total
}
