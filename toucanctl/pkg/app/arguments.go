package app

// Arguments defines the flags and subcommands that go-arg parses and lists in the help.
type Arguments struct {
	Control []string `arg:"--control,separate,env:TOUCANHINGE_CONTROL" help:"addresses of control VMs, IP:port" placeholder:"ADDRESS"`
	JSON    bool     `arg:"--json" help:"print JSON instead of a table"`
	Author  string   `arg:"--author,env:USER" help:"author to record with the change"`

	Put      *PutCommand      `arg:"subcommand:put" help:"create or change a part of the configuration"`
	Remove   *RemoveCommand   `arg:"subcommand:remove" help:"remove a part of the configuration"`
	List     *ListCommand     `arg:"subcommand:list" help:"list the accepted configuration, members, orders and drains"`
	Order    *OrderCommand    `arg:"subcommand:order" help:"order an endpoint's engine to load something or change its role"`
	Drain    *DrainCommand    `arg:"subcommand:drain" help:"drain a VM or a process"`
	Undrain  *UndrainCommand  `arg:"subcommand:undrain" help:"cancel a drain"`
	Jobs     *JobsCommand     `arg:"subcommand:jobs" help:"list batch jobs"`
	Teams    *TeamsCommand    `arg:"subcommand:teams" help:"show the teams of the routing table: limits, usage and refusals, without keys"`
	Cancel   *CancelCommand   `arg:"subcommand:cancel" help:"cancel a batch job"`
	Config   *ConfigCommand   `arg:"subcommand:config" help:"show the configuration version that each process applies"`
	Groups   *GroupsCommand   `arg:"subcommand:groups" help:"show the consensus groups as each control VM sees them"`
	Replica  *ReplicaCommand  `arg:"subcommand:replica" help:"add, promote or remove a control VM"`
	Handover *HandoverCommand `arg:"subcommand:handover" help:"move leadership away from one control VM"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"show what happened to a request, job, item or endpoint, and why"`
}

// Description is printed above the help.
func (Arguments) Description() string {
	return "toucanctl controls a toucanhinge fleet.\n"
}

// Epilogue is printed below the help.
func (Arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused (the entry in force is shown), 4 not found."
}

// ChangeOptions are the options of every command that changes the configuration.
type ChangeOptions struct {
	RequestID string  `arg:"--request-id" help:"id of this change; use the same id to retry a lost call" placeholder:"ID"`
	Base      *uint64 `arg:"--base" help:"version that this change is based on; default: the version in force" placeholder:"VERSION"`
}

// PutCommand has one subcommand for each kind of entry that it can create or change.
type PutCommand struct {
	DataCentre *PutDataCentre `arg:"subcommand:data-centre" help:"a data centre"`
	Link       *PutLink       `arg:"subcommand:link" help:"the network between two data centres"`
	Service    *PutService    `arg:"subcommand:service" help:"a model service or a plain service"`
	Team       *PutTeam       `arg:"subcommand:team" help:"a team, its keys and limits"`
	Contract   *PutContract   `arg:"subcommand:contract" help:"allow a team to use a service"`
}

// PutDataCentre holds the settings of a data centre.
type PutDataCentre struct {
	ChangeOptions
	Name   string `arg:"positional,required"`
	Region string `arg:"--region,required"`
}

// PutLink holds the settings of a link.
type PutLink struct {
	ChangeOptions
	From      string `arg:"positional,required"`
	To        string `arg:"positional,required"`
	LatencyUS uint32 `arg:"--latency-us,required" help:"typical one-way latency in microseconds"`
}

// PutService holds the settings of a service.
type PutService struct {
	ChangeOptions
	Name         string `arg:"positional,required"`
	Plain        bool   `arg:"--plain" help:"a plain service, not a model"`
	Model        string `arg:"--model" help:"model name that callers use in requests"`
	LegacyPercent uint32 `arg:"--older-percent" help:"percentage of requests sent to the legacy serving system"`
	LegacyURL     string `arg:"--older-url" help:"base URL of the legacy serving system"`
	Attempts     uint32 `arg:"--attempts" help:"maximum attempts of a batch item; 0 means the default"`
	BatchWeight  uint32 `arg:"--batch-weight" default:"50" help:"0 favours online latency, 100 batch throughput"`
	DeadlineMS   uint32 `arg:"--deadline-ms" help:"deadline of a request that sets none; 0 means the default"`
}

// PutTeam holds the settings of a team.
type PutTeam struct {
	ChangeOptions
	Name     string   `arg:"positional,required"`
	Keys     []string `arg:"--key,separate" help:"a key of the team; only its hash is sent"`
	Rate     float64  `arg:"--rate" help:"requests per second at each gateway; 0 means no limit"`
	Burst    uint32   `arg:"--burst" help:"largest burst above the rate"`
	InFlight uint32   `arg:"--in-flight" help:"concurrent requests at each gateway; 0 means no limit"`
	Weight   uint32   `arg:"--weight" default:"1" help:"weight relative to other teams"`
}

// PutContract holds the settings of a contract.
type PutContract struct {
	ChangeOptions
	Name        string   `arg:"positional,required"`
	Team        string   `arg:"--team,required"`
	Service     string   `arg:"--service,required"`
	Online      bool     `arg:"--online" help:"allow online requests"`
	Batch       bool     `arg:"--batch" help:"allow batch jobs"`
	DataCentres []string `arg:"--data-centre,separate" help:"allow only these data centres"`
}

// RemoveCommand removes one entry.
type RemoveCommand struct {
	ChangeOptions
	Kind string `arg:"positional,required" help:"data-centre, link, service, team, contract, order or drain"`
	Name string `arg:"positional,required"`
}

// ListCommand lists entries.
type ListCommand struct {
	Kind string `arg:"positional" help:"only this kind: data-centre, link, service, team, contract, member, order, drain"`
	Name string `arg:"positional" help:"only this name"`
}

// OrderCommand sends one order to the engine of an endpoint.
type OrderCommand struct {
	ChangeOptions
	Endpoint string `arg:"positional,required"`
	What     string `arg:"positional,required" help:"load-model, load-adapter, set-version or set-role"`
	Model    string `arg:"--model"`
	Adapter  string `arg:"--adapter"`
	Version  string `arg:"--model-version"`
	Role     string `arg:"--role"`
}

// DrainCommand drains a VM or a process.
type DrainCommand struct {
	ChangeOptions
	Name   string `arg:"positional,required" help:"name of a VM, gateway or endpoint"`
	Reason string `arg:"--reason,required"`
}

// UndrainCommand cancels a drain.
type UndrainCommand struct {
	ChangeOptions
	Name string `arg:"positional,required"`
}

// JobsCommand lists jobs.
type JobsCommand struct {
	Team string `arg:"--team"`
}

// TeamsCommand shows the teams.
type TeamsCommand struct {
	Team string `arg:"positional" help:"only this team"`
}

// CancelCommand cancels a job.
type CancelCommand struct {
	Job       string `arg:"positional,required"`
	RequestID string `arg:"--request-id"`
}

// ConfigCommand shows which processes have applied the configuration.
type ConfigCommand struct {
	Status *struct{} `arg:"subcommand:status" help:"show how far each process is behind"`
}

// GroupsCommand shows the consensus groups.
type GroupsCommand struct{}

// ReplicaCommand adds, promotes or removes one control VM.
type ReplicaCommand struct {
	Change   string `arg:"positional,required" help:"add, promote or remove"`
	Name     string `arg:"positional,required"`
	Address  string `arg:"--address" help:"IP:port of the new control VM"`
	Identity string `arg:"--identity" help:"identity of the new VM's data folder; default: query the new VM"`
}

// HandoverCommand moves leadership away from one control VM.
type HandoverCommand struct {
	Address string `arg:"positional,required" help:"IP:port of the control VM"`
}

// ExplainCommand queries all processes about an id, or searches log files for it.
type ExplainCommand struct {
	ID     string   `arg:"positional,required" help:"request id, job id, item id or JOB/INDEX of an item, or endpoint"`
	Logs   []string `arg:"--logs" help:"read these log files instead of querying processes; - is standard input" placeholder:"FILE"`
	Around string   `arg:"--around" default:"2s" help:"with --logs: show state changes of the processes from this long before"`
}
