package jobstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

const (
	benchBatch = 64
	benchBody  = 200
	benchJob   = 200_000
)

// BenchmarkApply accepts, leases and completes items in commands of 64. It
// reports the time, the log bytes and the segment bytes per item.
func BenchmarkApply(b *testing.B) {
	for range b.N {
		m := NewMachine(MachineConfig{Folder: b.TempDir(), Fatal: func(err error) { require.NoError(b, err) }})
		require.NoError(b, m.Load(nil))
		logged := 0
		apply := func(step *toucanhingev1.JobStep) any {
			command, err := proto.Marshal(&toucanhingev1.JobCommand{AtMs: 1, Steps: []*toucanhingev1.JobStep{step}})
			require.NoError(b, err)
			logged += len(command)
			return m.Apply(0, command).([]any)[0]
		}
		before := heapBytes()
		start := time.Now()
		benchStage(b, apply)
		perItem := func(name string, since time.Time) {
			b.ReportMetric(float64(time.Since(since).Nanoseconds())/benchJob, "ns-"+name+"/item")
		}
		perItem("accept", start)
		b.ReportMetric(float64(heapBytes()-before)/benchJob, "B-memory/item")
		var leased []Leased
		start = time.Now()
		for len(leased) < benchJob {
			answer := apply(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Lease{Lease: &toucanhingev1.LeaseStep{
				Request: &toucanhingev1.LeaseRequest{Sidecar: fmt.Sprint(len(leased) % 600), Service: testService, Most: benchBatch},
			}}}).(LeaseResult)
			leased = append(leased, answer.Items...)
		}
		perItem("lease", start)
		start = time.Now()
		benchComplete(b, apply, leased)
		perItem("complete", start)
		b.ReportMetric(float64(logged)/benchJob, "B-log/item")
		b.ReportMetric(float64(m.items.Bytes()+m.results.Bytes())/benchJob, "B-segments/item")
		start = time.Now()
		manifest, err := m.Checkpoint()
		require.NoError(b, err)
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-checkpoint")
		start = time.Now()
		require.NoError(b, m.Load(manifest))
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms-load")
		m.Close()
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func benchStage(b *testing.B, apply func(*toucanhingev1.JobStep) any) {
	for first := 0; first < benchJob; first += benchBatch {
		step := &toucanhingev1.StageStep{Upload: "u", First: uint64(first)}
		for i := first; i < min(first+benchBatch, benchJob); i++ {
			payload, err := proto.Marshal(&toucanhingev1.Item{CustomId: fmt.Sprintf("item-%d", i), Body: make([]byte, benchBody)})
			require.NoError(b, err)
			step.Items = append(step.Items, payload)
		}
		apply(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Stage{Stage: step}})
	}
	answer := apply(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Accept{Accept: &toucanhingev1.AcceptStep{
		Upload: "u", Id: "j1-a", Count: benchJob, Header: &toucanhingev1.UploadHeader{Team: "agence", Service: testService},
	}}}).(AcceptResult)
	require.NoError(b, answer.Err)
}

func benchComplete(b *testing.B, apply func(*toucanhingev1.JobStep) any, leased []Leased) {
	for first := 0; first < len(leased); first += benchBatch {
		request := &toucanhingev1.CompleteRequest{}
		for _, l := range leased[first:min(first+benchBatch, len(leased))] {
			request.Completions = append(request.Completions, &toucanhingev1.Completion{
				Job: l.Job, Index: uint64(l.Index), Lease: l.Lease, Outcome: toucanhingev1.Outcome_OUTCOME_DONE, Body: make([]byte, benchBody),
			})
		}
		answer := apply(&toucanhingev1.JobStep{Step: &toucanhingev1.JobStep_Complete{Complete: request}}).(CompleteResult)
		require.Equal(b, toucanhingev1.Verdict_VERDICT_ACCEPTED, answer.Verdicts[0])
	}
}
