// Package config holds the settings of the control program.
package config

import (
	"net/url"

	"toucanhinge.example/common/pkg/settings"
)

// Config is the whole settings file.
type Config struct {
	Name       string `toml:"name" doc:"this control VM's name, unique in the fleet"`
	Listen     string `toml:"listen" doc:"IP:port for all calls, health and metrics"`
	DataFolder string `toml:"data_folder" doc:"folder for all state; it must be on a disk of its own VM"`
	LogLevel   string `toml:"log_level" doc:"debug, info, warn or error"`
	Groups     uint32 `toml:"groups" doc:"consensus groups: one for configuration, the others share the jobs; the same on all control VMs and fixed once jobs exist"`
	DataCentre string `toml:"data_centre" doc:"the data centre that this VM stands in"`
	VM         string `toml:"vm" doc:"name of this VM in the platform's list; empty means the same as name"`

	Peers     []Peer    `toml:"peers" doc:"all control VMs that found the fleet, this one among them"`
	Consensus Consensus `toml:"consensus"`
	Members   Members   `toml:"members"`
	Jobs      Jobs      `toml:"jobs"`
	Platform  Platform  `toml:"platform"`
	Claims    Claims    `toml:"claims"`
	Operators Operators `toml:"operators"`
}

// Peer is one control VM.
type Peer struct {
	Name    string `toml:"name" doc:"its name"`
	Address string `toml:"address" doc:"IP:port where the others reach it"`
}

// Consensus holds the times of leadership.
type Consensus struct {
	HeartbeatMS       int64  `toml:"heartbeat_ms" doc:"a leader's heartbeat, milliseconds"`
	ElectionMS        int64  `toml:"election_ms" doc:"silence after which another leader is elected, milliseconds"`
	CheckpointEntries uint64 `toml:"checkpoint_entries" doc:"log entries between two checkpoints"`
	Join              bool   `toml:"join" doc:"this VM joins a fleet that exists: it founds nothing and waits to be added"`
}

// Members holds the times of membership.
type Members struct {
	LeaseMS  int64 `toml:"lease_ms" doc:"silence after which a process is declared dead, milliseconds"`
	ForgetMS int64 `toml:"forget_ms" doc:"how long a dead process stays listed, milliseconds"`
}

// Jobs holds the limits of batch work.
type Jobs struct {
	LeaseMS     int64  `toml:"lease_ms" doc:"silence after which leased items go to another sidecar, milliseconds"`
	RetentionMS int64  `toml:"retention_ms" doc:"how long an ended job and its results stay, milliseconds; longer than clients resend"`
	UploadMS    int64  `toml:"upload_ms" doc:"how long the items of a broken upload stay, milliseconds"`
	MaxItems   uint64 `toml:"most_items" doc:"items in one job"`
	ItemBytes   int    `toml:"item_bytes" doc:"largest body of one item"`
	ResultBytes int    `toml:"result_bytes" doc:"largest result of one item"`
}

// Platform is what the platform gives.
type Platform struct {
	VMListURL      string `toml:"vm_list_url" doc:"where the platform lists its VMs; empty means nowhere"`
	PollMS         int64  `toml:"poll_ms" doc:"time between two looks at the list, milliseconds"`
	LoadsPerMinute int64  `toml:"loads_per_minute" doc:"loads that the weight store bears in a minute; 0 means no limit"`
}

// Claims holds how long claims of non-idempotent requests are remembered.
type Claims struct {
	KeepMS int64 `toml:"keep_ms" doc:"how long after its deadline a claim is remembered, milliseconds; at least a day"`
}

// Operators holds how long operators' request ids are remembered.
type Operators struct {
	RequestsMS int64 `toml:"requests_ms" doc:"how long the answer to a request id is remembered, milliseconds"`
}

const (
	second = 1_000
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour
	mib    = 1 << 20

	mostPeers      = 8
	mostGroups     = 64
	fewestGroups   = 2
	largestItem    = 512 << 10
	heartbeatShare = 3
)

// Default returns the settings that the file is laid over.
func Default() Config {
	return Config{
		LogLevel: "info", Groups: fewestGroups,
		Consensus: Consensus{HeartbeatMS: 100, ElectionMS: 600, CheckpointEntries: 20_000},
		Members:   Members{LeaseMS: 10 * second, ForgetMS: 10 * minute},
		Jobs: Jobs{
			LeaseMS: 10 * second, RetentionMS: 7 * day, UploadMS: 10 * minute,
			MaxItems: 250_000, ItemBytes: largestItem / 2, ResultBytes: largestItem,
		},
		Platform:  Platform{PollMS: 2 * second},
		Claims:    Claims{KeepMS: day},
		Operators: Operators{RequestsMS: day},
	}
}

// Load reads and checks a settings file.
func Load(file string) (Config, error) {
	config := Default()
	if err := settings.Load(file, &config, validate); err != nil {
		return Config{}, err
	}
	if config.VM == "" {
		config.VM = config.Name
	}
	return config, nil
}

func validate(check *settings.Check, c *Config) {
	check.Require(c.Name != "", "name", "missing")
	check.Address("listen", c.Listen)
	check.Require(c.DataFolder != "", "data_folder", "missing")
	check.Require(c.Groups >= fewestGroups && c.Groups <= mostGroups, "groups", "want %d to %d, got %d", fewestGroups, mostGroups, c.Groups)
	switch c.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		check.Fail("log_level", "want debug, info, warn or error, got %q", c.LogLevel)
	}
	validatePeers(check, c)
	validateTimes(check, c)
	validateJobs(check, c)
	validatePlatform(check, c)
}

func validatePeers(check *settings.Check, c *Config) {
	check.Require(len(c.Peers) >= 1 && len(c.Peers) <= mostPeers, "peers", "want 1 to %d, got %d", mostPeers, len(c.Peers))
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, p := range c.Peers {
		check.Require(p.Name != "", "peers.name", "missing")
		check.Address("peers.address", p.Address)
		check.Require(!names[p.Name], "peers.name", "%q is listed twice", p.Name)
		check.Require(!addresses[p.Address], "peers.address", "%q is listed twice", p.Address)
		names[p.Name], addresses[p.Address] = true, true
	}
	check.Require(names[c.Name], "peers", "this VM, %q, is not listed", c.Name)
}

func validateTimes(check *settings.Check, c *Config) {
	check.Require(c.Consensus.HeartbeatMS >= 10, "consensus.heartbeat_ms", "want at least 10, got %d", c.Consensus.HeartbeatMS)
	check.Require(c.Consensus.ElectionMS >= heartbeatShare*c.Consensus.HeartbeatMS, "consensus.election_ms",
		"want at least %d heartbeats, got %d ms", heartbeatShare, c.Consensus.ElectionMS)
	check.Require(c.Consensus.CheckpointEntries >= 100, "consensus.checkpoint_entries", "want at least 100, got %d", c.Consensus.CheckpointEntries)
	// Processes send heartbeats every 2 s; two may be lost.
	check.Require(c.Members.LeaseMS >= 6*second, "members.lease_ms", "want at least 6000, got %d", c.Members.LeaseMS)
	check.Require(c.Members.ForgetMS >= minute, "members.forget_ms", "want at least a minute, got %d", c.Members.ForgetMS)
	check.Require(c.Claims.KeepMS >= day, "claims.keep_ms", "want at least a day, got %d", c.Claims.KeepMS)
	check.Require(c.Operators.RequestsMS >= hour, "operators.requests_ms", "want at least an hour, got %d", c.Operators.RequestsMS)
}

func validateJobs(check *settings.Check, c *Config) {
	check.Require(c.Jobs.LeaseMS >= second, "jobs.lease_ms", "want at least 1000, got %d", c.Jobs.LeaseMS)
	check.Require(c.Jobs.RetentionMS >= minute, "jobs.retention_ms", "want at least a minute, got %d", c.Jobs.RetentionMS)
	check.Require(c.Jobs.UploadMS >= 10*second, "jobs.upload_ms", "want at least 10000, got %d", c.Jobs.UploadMS)
	check.Require(c.Jobs.MaxItems >= 1 && c.Jobs.MaxItems <= 4*mib, "jobs.most_items", "want 1 to %d, got %d", 4*mib, c.Jobs.MaxItems)
	check.Require(c.Jobs.ItemBytes >= 1 && c.Jobs.ItemBytes <= largestItem, "jobs.item_bytes", "want 1 to %d, got %d", largestItem, c.Jobs.ItemBytes)
	check.Require(c.Jobs.ResultBytes >= 1 && c.Jobs.ResultBytes <= largestItem, "jobs.result_bytes", "want 1 to %d, got %d", largestItem, c.Jobs.ResultBytes)
}

func validatePlatform(check *settings.Check, c *Config) {
	check.Require(c.Platform.PollMS >= 100, "platform.poll_ms", "want at least 100, got %d", c.Platform.PollMS)
	check.Require(c.Platform.LoadsPerMinute >= 0, "platform.loads_per_minute", "want 0 or more, got %d", c.Platform.LoadsPerMinute)
	if c.Platform.VMListURL == "" {
		return
	}
	u, err := url.Parse(c.Platform.VMListURL)
	check.Require(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), "platform.vm_list_url",
		"want an http URL, got %q", c.Platform.VMListURL)
}
