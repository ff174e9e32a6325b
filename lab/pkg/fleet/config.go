package fleet

import (
	"strconv"
)

// Names that every fleet of the lab uses.
const (
	ModelService = "servitudes-llm"
	Model        = "small"
	PlainService = "parcels"
	TeamName     = "agence"
	TeamKey      = "agence-lab-key"
	OtherTeam    = "heredia"
	OtherTeamKey     = "heredia-lab-key"
)

// Engine is how the stand-in engines are started.
type Engine struct {
	Slots int
	Speed float64
	// CheckFence lets engines refuse orders with an older number.
	CheckFence bool
	// Args are further flags.
	Args []string
}

// Config is what fleet to start.
type Config struct {
	// Bin is the folder of the built programs.
	Bin string
	// Folder takes settings, logs and data.
	Folder string
	// Controls, Gateways and Sidecars count the programs; each sidecar has an engine.
	Controls int
	Gateways int
	Sidecars int
	// PlainServices counts sidecars before plain services besides.
	PlainServices int
	// DataCentres are used in turn.
	DataCentres []string
	// JobGroups is how many consensus groups share the jobs, beside the one for
	// configuration; 0 means 1.
	JobGroups int
	Engine    Engine
	// Relayed puts a relay before each control, for cuts between them.
	Relayed bool
	// CountControlBytes puts a relay between each daemon and each control that counts bytes.
	CountControlBytes bool
	// FixedPorts takes the ports that the README lists instead of free ones.
	FixedPorts bool
	// Settings of each role that differ from the lab's.
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

// NaivePolicy is the baseline that gives the engine everything at once.
func NaivePolicy() []Setting { return []Setting{Set("batch.policy", "naive")} }
