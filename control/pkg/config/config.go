// Package config defines, loads and validates the settings of the control program.
package config

import (
	"net/url"

	"toucanhinge.example/common/pkg/settings"
)

// Config is the whole settings file.
type Config struct {
	Name       string `toml:"name" doc:"unique name of this control VM in the fleet"`
	Listen     string `toml:"listen" doc:"IP:port for all calls, health and metrics"`
	DataFolder string `toml:"data_folder" doc:"folder for all state; must be on this VM's own disk"`
	LogLevel   string `toml:"log_level" doc:"debug, info, warn or error"`
	Groups     uint32 `toml:"groups" doc:"number of consensus groups: one for configuration, the others share the jobs; must be the same on all control VMs and cannot change once jobs exist"`
	DataCentre string `toml:"data_centre" doc:"name of the data centre of this VM"`
	VM         string `toml:"vm" doc:"name of this VM in the platform's VM list; empty means the same as name"`

	Peers     []Peer    `toml:"peers" doc:"all control VMs that form the fleet initially, including this one"`
	Consensus Consensus `toml:"consensus"`
	Members   Members   `toml:"members"`
	Jobs      Jobs      `toml:"jobs"`
	Platform  Platform  `toml:"platform"`
	Claims    Claims    `toml:"claims"`
	Operators Operators `toml:"operators"`
}

// Peer is one control VM.
type Peer struct {
	Name    string `toml:"name" doc:"name of the control VM"`
	Address string `toml:"address" doc:"IP:port at which the other control VMs reach it"`
}

// Consensus holds the settings of the consensus groups.
type Consensus struct {
	HeartbeatMS       int64  `toml:"heartbeat_ms" doc:"interval of a leader's heartbeats"`
	ElectionMS        int64  `toml:"election_ms" doc:"how long a leader may be unresponsive before another one is elected"`
	CheckpointEntries uint64 `toml:"checkpoint_entries" doc:"number of log entries between two checkpoints"`
	Join              bool   `toml:"join" doc:"true for a VM that joins an existing fleet: it does not create a fleet and waits to be added"`
}

// Members holds the lease and retention times of members.
type Members struct {
	LeaseMS  int64 `toml:"lease_ms" doc:"how long a process may be unresponsive before it is declared dead"`
	ForgetMS int64 `toml:"forget_ms" doc:"how long a process that was declared dead remains listed"`
}

// Jobs holds the limits of batch work.
type Jobs struct {
	LeaseMS     int64  `toml:"lease_ms" doc:"how long a sidecar may be unresponsive before the items it leased go to another sidecar; three times as long for an item that runs alone"`
	RetentionMS int64  `toml:"retention_ms" doc:"how long an ended job and its results are retained; must be longer than clients resend requests"`
	UploadMS    int64  `toml:"upload_ms" doc:"how long the items of an interrupted upload are retained"`
	MaxItems    uint64 `toml:"most_items" doc:"maximum items in one job"`
	ItemBytes   int    `toml:"item_bytes" doc:"maximum size of the body of one item"`
	ResultBytes int    `toml:"result_bytes" doc:"maximum size of the result of one item"`
}

// Platform holds the settings of the platform's VM list and weight store.
type Platform struct {
	VMListURL      string `toml:"vm_list_url" doc:"URL of the platform's VM list; empty means that there is none"`
	PollMS         int64  `toml:"poll_ms" doc:"interval of reads of the VM list"`
	LoadsPerMinute int64  `toml:"loads_per_minute" doc:"maximum loads per minute that the weight store can serve; 0 means no limit"`
}

// Claims holds the retention time of claims of non-idempotent requests.
type Claims struct {
	KeepMS int64 `toml:"keep_ms" doc:"how long a claim is retained after its deadline; at least a day"`
}

// Operators holds the retention time of the responses to operators' request ids.
type Operators struct {
	RequestsMS int64 `toml:"requests_ms" doc:"how long the response to an operator's request id is retained"`
}

const (
	second = 1_000
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour
	mib    = 1 << 20

	maxPeers              = 8
	maxGroups             = 64
	minGroups             = 2
	maxItemBytes          = 512 << 10
	minElectionHeartbeats = 3
)

// Default returns the settings that apply where the file has none.
func Default() Config {
	return Config{
		LogLevel: "info", Groups: minGroups,
		Consensus: Consensus{HeartbeatMS: 100, ElectionMS: 600, CheckpointEntries: 20_000},
		Members:   Members{LeaseMS: 10 * second, ForgetMS: 10 * minute},
		Jobs: Jobs{
			LeaseMS: 10 * second, RetentionMS: 7 * day, UploadMS: 10 * minute,
			MaxItems: 250_000, ItemBytes: maxItemBytes / 2, ResultBytes: maxItemBytes,
		},
		Platform:  Platform{PollMS: 2 * second},
		Claims:    Claims{KeepMS: day},
		Operators: Operators{RequestsMS: day},
	}
}

// Load reads and validates a settings file.
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
	check.Require(c.Groups >= minGroups && c.Groups <= maxGroups, "groups", "want %d to %d, got %d", minGroups, maxGroups, c.Groups)
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
	check.Require(len(c.Peers) >= 1 && len(c.Peers) <= maxPeers, "peers", "want 1 to %d, got %d", maxPeers, len(c.Peers))
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
	check.Require(c.Consensus.ElectionMS >= minElectionHeartbeats*c.Consensus.HeartbeatMS, "consensus.election_ms",
		"want at least %d heartbeats, got %d ms", minElectionHeartbeats, c.Consensus.ElectionMS)
	check.Require(c.Consensus.CheckpointEntries >= 100, "consensus.checkpoint_entries", "want at least 100, got %d", c.Consensus.CheckpointEntries)
	// Processes send heartbeats every 2 s; a lease has to survive the loss of two.
	check.Require(c.Members.LeaseMS >= 6*second, "members.lease_ms", "want at least 6000, got %d", c.Members.LeaseMS)
	check.Require(c.Members.ForgetMS >= minute, "members.forget_ms", "want at least a minute, got %d ms", c.Members.ForgetMS)
	check.Require(c.Claims.KeepMS >= day, "claims.keep_ms", "want at least a day, got %d ms", c.Claims.KeepMS)
	check.Require(c.Operators.RequestsMS >= hour, "operators.requests_ms", "want at least an hour, got %d ms", c.Operators.RequestsMS)
}

func validateJobs(check *settings.Check, c *Config) {
	check.Require(c.Jobs.LeaseMS >= second, "jobs.lease_ms", "want at least 1000, got %d", c.Jobs.LeaseMS)
	check.Require(c.Jobs.RetentionMS >= minute, "jobs.retention_ms", "want at least a minute, got %d ms", c.Jobs.RetentionMS)
	check.Require(c.Jobs.UploadMS >= 10*second, "jobs.upload_ms", "want at least 10000, got %d", c.Jobs.UploadMS)
	check.Require(c.Jobs.MaxItems >= 1 && c.Jobs.MaxItems <= 4*mib, "jobs.most_items", "want 1 to %d, got %d", 4*mib, c.Jobs.MaxItems)
	check.Require(c.Jobs.ItemBytes >= 1 && c.Jobs.ItemBytes <= maxItemBytes, "jobs.item_bytes", "want 1 to %d, got %d", maxItemBytes, c.Jobs.ItemBytes)
	check.Require(c.Jobs.ResultBytes >= 1 && c.Jobs.ResultBytes <= maxItemBytes, "jobs.result_bytes", "want 1 to %d, got %d", maxItemBytes, c.Jobs.ResultBytes)
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
