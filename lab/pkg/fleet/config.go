package fleet

import (
	"strconv"
)

// Names and keys that every fleet of the lab uses.
const (
	ModelService = "servitudes-llm"
	Model        = "small"
	PlainService = "parcels"
	TeamName     = "agence"
	TeamKey      = "agence-lab-key"
	OtherTeam    = "heredia"
	OtherTeamKey = "heredia-lab-key"
)

// Engine configures the simulated engines.
type Engine struct {
	Slots int
	Speed float64
	// CheckFence makes the engines refuse orders whose fence number is older than one they have seen.
	CheckFence bool
	// Args are additional flags.
	Args []string
}

// Config describes the fleet to start.
type Config struct {
	// Bin is the folder that contains the built programs.
	Bin string
	// Folder receives settings, logs and data.
	Folder string
	// Controls, Gateways and Sidecars are the numbers of processes. Each sidecar has its own engine.
	Controls int
	Gateways int
	Sidecars int
	// PlainServices is the number of plain services. Each has its own sidecar in addition to Sidecars.
	PlainServices int
	// DataCentres are assigned to the processes round-robin.
	DataCentres []string
	// JobGroups is the number of consensus groups that share the jobs, in addition to the
	// configuration group. 0 means 1.
	JobGroups int
	Engine    Engine
	// Relayed puts a relay in front of each control VM, so that tests can partition them.
	Relayed bool
	// CountControlBytes puts a relay that counts bytes between each daemon and each control VM.
	CountControlBytes bool
	// FixedPorts uses the ports that the README lists instead of free ones.
	FixedPorts bool
	// Settings of each role that override those of the lab.
	ControlSettings []Setting
	GatewaySettings []Setting
	SidecarSettings []Setting
}

func (c Config) withDefaults() Config {
	if len(c.DataCentres) == 0 {
		c.DataCentres = []string{"hay-riad", "agdal"}
	}
	if c.JobGroups == 0 {
		c.JobGroups = 1
	}
	if c.Engine.Slots == 0 {
		c.Engine.Slots = 16
	}
	if c.Engine.Speed == 0 {
		c.Engine.Speed = 1
	}
	return c
}

func (c Config) dataCentre(n int) string { return c.DataCentres[n%len(c.DataCentres)] }

func (e Engine) arguments(name, address string) []string {
	args := []string{
		"--listen", address, "--name", name, "--model", Model,
		"--slots", strconv.Itoa(e.Slots), "--speed", strconv.FormatFloat(e.Speed, 'g', -1, 64),
	}
	if e.CheckFence {
		args = append(args, "--check-fence")
	}
	return append(args, e.Args...)
}

// NaivePolicy returns the settings of the baseline that sends all items to the engine at once.
func NaivePolicy() []Setting { return []Setting{Set("batch.policy", "naive")} }
