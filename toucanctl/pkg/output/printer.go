// Package output prints responses as tables for people or as JSON for scripts.
package output

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Printer writes responses as tables, or as JSON if JSON is set.
type Printer struct {
	JSON bool
	Out  io.Writer
}

type row []string

func (p Printer) print(message proto.Message, header row, rows []row) error {
	if p.JSON {
		return p.printJSON(message)
	}
	w := tabwriter.NewWriter(p.Out, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.Join(header, "\t")); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return fmt.Errorf("write the table: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

func (p Printer) printJSON(message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode the response: %w", err)
	}
	if _, err := fmt.Fprintln(p.Out, string(text)); err != nil {
		return fmt.Errorf("write the response: %w", err)
	}
	return nil
}

// ApplyResult prints the outcome of a change.
func (p Printer) ApplyResult(response *toucanhingev1.ApplyResponse) error {
	verdict := "accepted"
	if !response.GetAccepted() {
		verdict = "refused; in force is"
	}
	return p.print(response, row{"VERDICT", "KIND", "NAME", "VERSION", "BY", "WHAT"},
		[]row{append(row{verdict}, entryRow(response.GetEntry())...)})
}

// Entries prints accepted entries.
func (p Printer) Entries(response *toucanhingev1.ListEntriesResponse) error {
	entries := response.GetEntries()
	sort.Slice(entries, func(i, j int) bool {
		if entries[i].GetKind() != entries[j].GetKind() {
			return entries[i].GetKind() < entries[j].GetKind()
		}
		return entries[i].GetName() < entries[j].GetName()
	})
	rows := make([]row, 0, len(entries))
	for _, e := range entries {
		rows = append(rows, entryRow(e))
	}
	return p.print(response, row{"KIND", "NAME", "VERSION", "BY", "WHAT"}, rows)
}

func entryRow(e *toucanhingev1.Entry) row {
	return row{kindName(e.GetKind()), e.GetName(), fmt.Sprint(e.GetVersion()), e.GetAuthor(), bodyText(e)}
}

func kindName(k toucanhingev1.Kind) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(k.String(), "KIND_")), "_", "-")
}

// bodyText returns the body of an entry as one line of JSON.
func bodyText(e *toucanhingev1.Entry) string {
	if e.GetRemoved() {
		return "(removed)"
	}
	m := e.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().ByName("body"))
	if field == nil {
		return ""
	}
	text, err := protojson.Marshal(m.Get(field).Message().Interface())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Jobs prints a list of jobs.
func (p Printer) Jobs(response *toucanhingev1.ListJobsResponse) error {
	rows := make([]row, 0, len(response.GetJobs()))
	for _, j := range response.GetJobs() {
		rows = append(rows, jobRow(j))
	}
	return p.print(response, jobHeader, rows)
}

// Teams prints the limits and the usage of teams, in requests per window, and their shares of contended slots.
func (p Printer) Teams(response *toucanhingev1.ListTeamsResponse) error {
	rows := make([]row, 0, len(response.GetTeams()))
	window := time.Duration(response.GetWindowMs()) * time.Millisecond
	for _, t := range response.GetTeams() {
		priority, limit := "-", "-"
		if t.Priority != nil {
			priority = fmt.Sprint(t.GetPriority())
		}
		if t.GetRate() > 0 {
			limit = fmt.Sprintf("%.0f", t.GetRate()*window.Seconds()+t.GetBurst())
		}
		team := row{
			t.GetName(), fmt.Sprint(t.GetKeys()), priority, fmt.Sprintf("%g", t.GetRate()), fmt.Sprintf("%g", t.GetBurst()),
			fmt.Sprintf("%.0f", t.GetUsed()), limit, fmt.Sprint(t.GetRefused()), fmt.Sprint(t.GetOpenJobs()), fmt.Sprint(t.GetWaitingTokens()),
			fmt.Sprintf("%g", t.GetWeight()),
		}
		for _, part := range contentionRows(t) {
			rows = append(rows, slices.Concat(team, part))
		}
	}
	return p.print(response, row{
		"TEAM", "KEYS", "PRIORITY", "RATE", "BURST", "USED", "LIMIT", "REFUSED", "JOBS", "TOKENS", "WEIGHT", "SERVICE", "RUNNING", "DEMAND", "SHARE",
	}, rows)
}

// contentionRows returns the columns for each service for whose slots a team competes, at least one row.
func contentionRows(t *toucanhingev1.TeamStatus) []row {
	var rows []row
	for _, c := range t.GetContention() {
		share := "-"
		if c.Share != nil {
			share = fmt.Sprintf("%.1f", c.GetShare())
		}
		rows = append(rows, row{c.GetService(), fmt.Sprint(c.GetRunning()), fmt.Sprint(c.GetDemand()), share})
	}
	if len(rows) == 0 {
		rows = append(rows, row{"-", "-", "-", "-"})
	}
	return rows
}

// Job prints one job after a change.
func (p Printer) Job(response *toucanhingev1.CancelJobResponse) error {
	return p.print(response, jobHeader, []row{jobRow(response.GetJob())})
}

var jobHeader = row{"JOB", "TEAM", "KEY", "SERVICE", "STATE", "ITEMS", "LEASED", "DONE", "FAILED", "DEADLINE"}

func jobRow(j *toucanhingev1.JobStatus) row {
	deadline := "-"
	if j.GetDeadlineMs() > 0 {
		deadline = time.UnixMilli(j.GetDeadlineMs()).UTC().Format(time.RFC3339)
	}
	state := strings.ToLower(strings.TrimPrefix(j.GetState().String(), "JOB_STATE_"))
	return row{
		j.GetId(), j.GetTeam(), j.GetKey(), j.GetService(), state, fmt.Sprint(j.GetItems()),
		fmt.Sprint(j.GetLeased()), fmt.Sprint(j.GetDone()), fmt.Sprint(j.GetFailed()), deadline,
	}
}

// ConfigStatus prints the configuration version that each process applies.
func (p Printer) ConfigStatus(response *toucanhingev1.ConfigStatusResponse) error {
	rows := make([]row, 0, len(response.GetProcesses()))
	for _, s := range response.GetProcesses() {
		role := strings.ToLower(strings.TrimPrefix(s.GetRole().String(), "ROLE_"))
		lastSeen := time.Duration(s.GetHeardMs()) * time.Millisecond
		rows = append(rows, row{s.GetName(), role, fmt.Sprint(s.GetVersion()), fmt.Sprint(s.GetBehind()), lastSeen.String()})
	}
	return p.print(response, row{"PROCESS", "ROLE", "VERSION", "BEHIND", "HEARD"}, rows)
}

// Groups prints one control VM's view of its groups.
func (p Printer) Groups(response *toucanhingev1.GroupStatusResponse) error {
	return p.print(response, groupHeader, groupRows(response.GetReplica(), response.GetGroups()))
}

// Replicas prints the groups after a change of control VMs.
func (p Printer) Replicas(response *toucanhingev1.ChangeReplicaResponse) error {
	return p.print(response, groupHeader, groupRows("", response.GetGroups()))
}

var groupHeader = row{"SEEN BY", "GROUP", "ROLE", "LEADER", "TERM", "COMMIT", "APPLIED", "LAST", "REPLICAS"}

func groupRows(seenBy string, groups []*toucanhingev1.GroupState) []row {
	rows := make([]row, 0, len(groups))
	for _, g := range groups {
		replicas := make([]string, 0, len(g.GetReplicas()))
		for _, r := range g.GetReplicas() {
			kind := "learner"
			if r.GetVoter() {
				kind = "voter"
			}
			text := r.GetName() + "=" + kind
			if r.GetMatch() > 0 {
				// Only the leader knows the match index of all replicas; a follower knows its own.
				text += fmt.Sprintf("@%d", r.GetMatch())
			}
			replicas = append(replicas, text)
		}
		rows = append(rows, row{
			seenBy, fmt.Sprint(g.GetGroup()), g.GetRole(), g.GetLeader(), fmt.Sprint(g.GetTerm()),
			fmt.Sprint(g.GetCommit()), fmt.Sprint(g.GetApplied()), fmt.Sprint(g.GetLast()), strings.Join(replicas, " "),
		})
	}
	return rows
}

// Handover prints the number of transferred leaderships.
func (p Printer) Handover(response *toucanhingev1.HandoverResponse) error {
	return p.print(response, row{"GROUPS MOVED"}, []row{{fmt.Sprint(response.GetGroupsMoved())}})
}

// Explanation prints the records of all processes about an id, ordered by time, and the
// addresses of processes that did not respond.
func (p Printer) Explanation(id string, responses []*toucanhingev1.ExplainResponse, unreachable []string) error {
	if p.JSON {
		for _, a := range responses {
			if err := p.printJSON(a); err != nil {
				return err
			}
		}
		return nil
	}
	type line struct {
		at  int64
		row row
	}
	var lines []line
	for _, a := range responses {
		for _, h := range a.GetHappenings() {
			at := time.UnixMilli(h.GetAtMs()).UTC().Format("15:04:05.000")
			lines = append(lines, line{h.GetAtMs(), row{at, a.GetProcess(), h.GetId(), h.GetEvent(), h.GetDetail()}})
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	rows := make([]row, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, l.row)
	}
	if err := p.print(nil, row{"AT (UTC)", "PROCESS", "ID", "EVENT", "DETAIL"}, rows); err != nil {
		return err
	}
	for _, address := range unreachable {
		if _, err := fmt.Fprintf(p.Out, "no response from %s\n", address); err != nil {
			return fmt.Errorf("write the response: %w", err)
		}
	}
	if len(rows) == 0 {
		return p.printText("no process has a record of " + id + "; records are bounded and stored in memory only")
	}
	return nil
}

func (p Printer) printText(text string) error {
	if _, err := fmt.Fprintln(p.Out, text); err != nil {
		return fmt.Errorf("write the response: %w", err)
	}
	return nil
}
