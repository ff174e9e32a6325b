// Package output prints answers as tables for people or as JSON for scripts.
package output

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// Printer writes answers.
type Printer struct {
	JSON bool
	Out  io.Writer
}

type row []string

func (p Printer) print(message proto.Message, header row, rows []row) error {
	if p.JSON {
		return p.json(message)
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

func (p Printer) json(message proto.Message) error {
	text, err := protojson.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode the answer: %w", err)
	}
	if _, err := fmt.Fprintln(p.Out, string(text)); err != nil {
		return fmt.Errorf("write the answer: %w", err)
	}
	return nil
}

// ApplyResult prints the outcome of a change.
func (p Printer) ApplyResult(answer *toucanhingev1.ApplyResponse) error {
	verdict := "accepted"
	if !answer.GetAccepted() {
		verdict = "refused; in force is"
	}
	return p.print(answer, row{"VERDICT", "KIND", "NAME", "VERSION", "BY", "WHAT"},
		[]row{append(row{verdict}, entryRow(answer.GetEntry())...)})
}

// Entries prints accepted entries.
func (p Printer) Entries(answer *toucanhingev1.ListEntriesResponse) error {
	entries := answer.GetEntries()
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
	return p.print(answer, row{"KIND", "NAME", "VERSION", "BY", "WHAT"}, rows)
}

func entryRow(e *toucanhingev1.Entry) row {
	return row{kindName(e.GetKind()), e.GetName(), fmt.Sprint(e.GetVersion()), e.GetAuthor(), body(e)}
}

func kindName(k toucanhingev1.Kind) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(k.String(), "KIND_")), "_", "-")
}

// body shows what stands in an entry on one line.
func body(e *toucanhingev1.Entry) string {
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
func (p Printer) Jobs(answer *toucanhingev1.ListJobsResponse) error {
	rows := make([]row, 0, len(answer.GetJobs()))
	for _, j := range answer.GetJobs() {
		rows = append(rows, jobRow(j))
	}
	return p.print(answer, jobHeader, rows)
}

// Teams prints the teams: what they may and what they use, in requests of one window.
func (p Printer) Teams(answer *toucanhingev1.ListTeamsResponse) error {
	rows := make([]row, 0, len(answer.GetTeams()))
	window := time.Duration(answer.GetWindowMs()) * time.Millisecond
	for _, t := range answer.GetTeams() {
		priority, limit := "-", "-"
		if t.Priority != nil {
			priority = fmt.Sprint(t.GetPriority())
		}
		if t.GetRate() > 0 {
			limit = fmt.Sprintf("%.0f", t.GetRate()*window.Seconds()+t.GetBurst())
		}
		rows = append(rows, row{
			t.GetName(), fmt.Sprint(t.GetKeys()), priority, fmt.Sprintf("%g", t.GetRate()), fmt.Sprintf("%g", t.GetBurst()),
			fmt.Sprintf("%.0f", t.GetUsed()), limit, fmt.Sprint(t.GetRefused()), fmt.Sprint(t.GetOpenJobs()), fmt.Sprint(t.GetWaitingTokens()),
		})
	}
	return p.print(answer, row{"TEAM", "KEYS", "PRIORITY", "RATE", "BURST", "USED", "LIMIT", "REFUSED", "JOBS", "TOKENS"}, rows)
}

// Job prints one job after a change.
func (p Printer) Job(answer *toucanhingev1.CancelJobResponse) error {
	return p.print(answer, jobHeader, []row{jobRow(answer.GetJob())})
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

// ConfigStatus prints which process has which version in force.
func (p Printer) ConfigStatus(answer *toucanhingev1.ConfigStatusResponse) error {
	rows := make([]row, 0, len(answer.GetProcesses()))
	for _, s := range answer.GetProcesses() {
		role := strings.ToLower(strings.TrimPrefix(s.GetRole().String(), "ROLE_"))
		heard := time.Duration(s.GetHeardMs()) * time.Millisecond
		rows = append(rows, row{s.GetName(), role, fmt.Sprint(s.GetVersion()), fmt.Sprint(s.GetBehind()), heard.String()})
	}
	return p.print(answer, row{"PROCESS", "ROLE", "VERSION", "BEHIND", "HEARD"}, rows)
}

// Groups prints one control VM's view of its groups.
func (p Printer) Groups(answer *toucanhingev1.GroupStatusResponse) error {
	return p.print(answer, groupHeader, groupRows(answer.GetReplica(), answer.GetGroups()))
}

// Replicas prints the groups after a change of control VMs.
func (p Printer) Replicas(answer *toucanhingev1.ChangeReplicaResponse) error {
	return p.print(answer, groupHeader, groupRows("", answer.GetGroups()))
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
				// Only a leader knows what the others hold; a follower, only itself.
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

// Handover prints how many leaderships moved.
func (p Printer) Handover(answer *toucanhingev1.HandoverResponse) error {
	return p.print(answer, row{"GROUPS MOVED"}, []row{{fmt.Sprint(answer.GetGroupsMoved())}})
}

// Explanation prints what all processes know of an id, in the order of time.
func (p Printer) Explanation(id string, answers []*toucanhingev1.ExplainResponse, silent []string) error {
	if p.JSON {
		for _, a := range answers {
			if err := p.json(a); err != nil {
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
	for _, a := range answers {
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
	for _, address := range silent {
		if _, err := fmt.Fprintf(p.Out, "no answer from %s\n", address); err != nil {
			return fmt.Errorf("write the answer: %w", err)
		}
	}
	if len(rows) == 0 {
		return p.note("no process remembers " + id + "; records are bounded and kept in memory only")
	}
	return nil
}

func (p Printer) note(text string) error {
	if _, err := fmt.Fprintln(p.Out, text); err != nil {
		return fmt.Errorf("write the answer: %w", err)
	}
	return nil
}
