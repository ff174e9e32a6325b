package batchrun

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanhinge.example/common/pkg/occupancy"
	"toucanhinge.example/common/pkg/runner"
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// gatedReader ends a stream when its gate is closed, however its call was ended meanwhile.
type gatedReader struct{ gate chan struct{} }

func (g gatedReader) Read([]byte) (int, error) {
	<-g.gate
	return 0, io.EOF
}

// Guards against a result whose text the item's next call discarded or replaced: the end of the stream crosses a
// preemption, and the item has already started again when it arrives.
func TestResultHoldsTextOfCallThatFinishedIt(t *testing.T) {
	for _, c := range []struct {
		name string
		// nextVersion is the software version of the runner where the item starts again.
		nextVersion string
		// next is the answer to the next call, if it is sent.
		next func(ctx context.Context) io.ReadCloser
	}{
		{"another software version, no event yet", "v7", func(context.Context) io.ReadCloser {
			return &hangingBody{source: strings.NewReader("")}
		}},
		{"another software version, first events", "v7", func(context.Context) io.ReadCloser {
			return &hangingBody{source: strings.NewReader(events(1, 2))}
		}},
		{"the same software version", "v1", func(context.Context) io.ReadCloser {
			return &hangingBody{source: strings.NewReader("")}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate := make(chan struct{})
			f := start(t, func(n int, _ runner.Call) (*runner.Answer, error) {
				if n == 0 {
					text := io.MultiReader(strings.NewReader(events(1, 4)), gatedReader{gate})
					return &runner.Answer{Status: 200, Body: io.NopCloser(text), Release: func() {}}, nil
				}
				return ok(c.next(t.Context()))
			})
			leaving := func() bool { return len(f.sent()) > 0 }
			f.driver.config.Runners = func() []*toucanhingev1.Runner {
				return []*toucanhingev1.Runner{
					{Id: "a", Service: "llm", DataCentre: "here", Slots: 1, Version: "v1", Leaving: leaving()},
					{Id: "b", Service: "llm", DataCentre: "here", Slots: 1, Version: c.nextVersion},
				}
			}
			f.driver.config.Pace = func(id string) float64 { return map[string]float64{"a": 0.5, "b": 1.5}[id] }
			f.run()
			f.submit(1)
			require.Eventually(t, leaving, time.Second, time.Millisecond)
			time.Sleep(20 * time.Millisecond)
			f.exchange.Add("a", occupancy.Load{Online: 1})
			f.driver.Wake()
			// The item waits for the end of its first call at b.
			require.Eventually(t, func() bool {
				load := occupancy.Load{}
				f.exchange.View(func(table *occupancy.Table) { load = table.Load("b") })
				return load.Batch == 1
			}, time.Second, time.Millisecond)
			close(gate)
			completed, text := f.result()
			require.True(t, completed)
			require.Equal(t, "x1\nx2\nx3\nx4", text)
			require.Len(t, f.sent(), 1, "a finished item runs again")
		})
	}
}
