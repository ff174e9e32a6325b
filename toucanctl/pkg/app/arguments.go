package app

// Arguments is the whole command line; go-arg reads and explains it.
type Arguments struct {
	Control []string `arg:"--control,separate,env:TOUCANHINGE_CONTROL" help:"addresses of control VMs, IP:port" placeholder:"ADDRESS"`
	JSON    bool     `arg:"--json" help:"print JSON instead of a table"`
	Author  string   `arg:"--author,env:USER" help:"who asks for the change, kept with it"`

	Put      *PutCommand      `arg:"subcommand:put" help:"create or change a part of the configuration"`
	Remove   *RemoveCommand   `arg:"subcommand:remove" help:"remove a part of the configuration"`
	List     *ListCommand     `arg:"subcommand:list" help:"list the accepted configuration, members, orders and drains"`
	Order    *OrderCommand    `arg:"subcommand:order" help:"order an endpoint's engine to load something or change its role"`
	Drain    *DrainCommand    `arg:"subcommand:drain" help:"ask a VM or a process to leave"`
	Undrain  *UndrainCommand  `arg:"subcommand:undrain" help:"take a drain back"`
	Jobs     *JobsCommand     `arg:"subcommand:jobs" help:"list batch jobs"`
	Teams    *TeamsCommand    `arg:"subcommand:teams" help:"show the teams of the routing table: limits, use and refusals, never keys"`
	Cancel   *CancelCommand   `arg:"subcommand:cancel" help:"cancel a batch job"`
	Config   *ConfigCommand   `arg:"subcommand:config" help:"show which process has which configuration in force"`
	Groups   *GroupsCommand   `arg:"subcommand:groups" help:"show the consensus groups as each control VM sees them"`
	Replica  *ReplicaCommand  `arg:"subcommand:replica" help:"add, promote or remove a control VM"`
	Handover *HandoverCommand `arg:"subcommand:handover" help:"move leadership away from one control VM"`
	Explain  *ExplainCommand  `arg:"subcommand:explain" help:"tell what happened to a request, job, item or endpoint, and why"`
}

// Description is printed above the help.
func (Arguments) Description() string {
	return "toucanctl drives a toucanhinge fleet.\n"
}

// Epilogue is printed below the help.
func (Arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused (the winner is shown), 4 not found."
}

// ChangeOptions are common to all that changes the configuration.
type ChangeOptions struct {
	RequestID string  `arg:"--request-id" help:"id of this change; repeat a lost call with the same id" placeholder:"ID"`
	Base      *uint64 `arg:"--base" help:"version that this change is based on; without it, the version in force now" placeholder:"VERSION"`
}

// PutCommand has one subcommand for each kind.
type PutCommand struct {
	DataCentre *PutDataCentre `arg:"subcommand:data-centre" help:"a data centre"`
	Link       *PutLink       `arg:"subcommand:link" help:"the network between two data centres"`
	Service    *PutService    `arg:"subcommand:service" help:"a model service or a plain service"`
	Team       *PutTeam       `arg:"subcommand:team" help:"a team, its keys and limits"`
	Contract   *PutContract   `arg:"subcommand:contract" help:"lets a team use a service"`
}

// PutDataCentre describes a data centre.
type PutDataCentre struct {
	ChangeOptions
	Name   string `arg:"positional,required"`
	Region string `arg:"--region,required"`
}

// PutLink describes a link.
type PutLink struct {
	ChangeOptions
	From      string `arg:"positional,required"`
	To        string `arg:"positional,required"`
	LatencyUS uint32 `arg:"--latency-us,required" help:"usual one-way time in microseconds"`
}

// PutService describes a service.
type PutService struct {
	ChangeOptions
	Name         string `arg:"positional,required"`
	Plain        bool   `arg:"--plain" help:"a plain service, not a model"`
	Model        string `arg:"--model" help:"model name that callers write"`
	LegacyPercent uint32 `arg:"--older-percent" help:"share of requests sent to the older serving system"`
	LegacyURL     string `arg:"--older-url" help:"base URL of the older serving system"`
	Attempts     uint32 `arg:"--attempts" help:"attempts of a batch item; 0 means the default"`
	BatchWeight  uint32 `arg:"--batch-weight" default:"50" help:"0 favours online latency, 100 batch throughput"`
	DeadlineMS   uint32 `arg:"--deadline-ms" help:"deadline of a request that names none; 0 means the default"`
}

// PutTeam describes a team.
type PutTeam struct {
	ChangeOptions
	Name     string   `arg:"positional,required"`
	Keys     []string `arg:"--key,separate" help:"a key of the team; only its hash is sent"`
	Rate     float64  `arg:"--rate" help:"requests a second at each gateway; 0 means no limit"`
	Burst    uint32   `arg:"--burst" help:"largest burst above the rate"`
	InFlight uint32   `arg:"--in-flight" help:"requests at once at each gateway; 0 means no limit"`
	Weight   uint32   `arg:"--weight" default:"1" help:"share against other teams"`
}

// PutContract describes a contract.
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

// OrderCommand gives one order.
type OrderCommand struct {
	ChangeOptions
	Endpoint string `arg:"positional,required"`
	What     string `arg:"positional,required" help:"load-model, load-adapter, set-version or set-role"`
	Model    string `arg:"--model"`
	Adapter  string `arg:"--adapter"`
	Version  string `arg:"--model-version"`
	Role     string `arg:"--role"`
}

// DrainCommand asks a VM or a process to leave.
type DrainCommand struct {
	ChangeOptions
	Name   string `arg:"positional,required" help:"name of a VM, gateway or endpoint"`
	Reason string `arg:"--reason,required"`
}

// UndrainCommand takes a drain back.
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

// ConfigCommand shows the spread of the configuration.
type ConfigCommand struct {
	Status *struct{} `arg:"subcommand:status" help:"which process is how far behind"`
}

// GroupsCommand shows the consensus groups.
type GroupsCommand struct{}

// ReplicaCommand changes the set of control VMs, one at a time.
type ReplicaCommand struct {
	Change   string `arg:"positional,required" help:"add, promote or remove"`
	Name     string `arg:"positional,required"`
	Address  string `arg:"--address" help:"IP:port of the newcomer"`
	Identity string `arg:"--identity" help:"identity of the newcomer's data folder; without it, the newcomer is asked"`
}

// HandoverCommand moves leadership away from one control VM.
type HandoverCommand struct {
	Address string `arg:"positional,required" help:"IP:port of the control VM"`
}

// ExplainCommand asks all processes about an id, or reads their log lines.
type ExplainCommand struct {
	ID     string   `arg:"positional,required" help:"request id, job id, item id or JOB/INDEX of an item, or endpoint"`
	Logs   []string `arg:"--logs" help:"read these log files in place of asking; - is standard input" placeholder:"FILE"`
	Around string   `arg:"--around" default:"2s" help:"with --logs: show what the processes believed from so long before"`
}
