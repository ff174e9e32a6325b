package app

import (
	"context"
	"encoding/json"
	"fmt"

	"connectrpc.com/connect"

	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

type runFunc func(context.Context, *toucanhingev1.RunRequest, *connect.ServerStream[toucanhingev1.Frame]) error

// frameBuilder builds the frames of one attempt.
type frameBuilder struct {
	request *toucanhingev1.RunRequest
	// software is the software version that the frames' loads name.
	software string
}

func (f frameBuilder) load() *toucanhingev1.Load {
	load := idleLoad()
	load.Software = f.software
	return load
}

func (f frameBuilder) frame() *toucanhingev1.Frame {
	return &toucanhingev1.Frame{RequestId: f.request.GetRequestId(), Attempt: f.request.GetAttempt()}
}

func (f frameBuilder) head(status uint32, contentType string) *toucanhingev1.Frame {
	frame := f.frame()
	frame.Part = &toucanhingev1.Frame_Head{Head: &toucanhingev1.Head{
		Status: status, Headers: []*toucanhingev1.Header{{Name: "content-type", Value: contentType}},
	}}
	frame.Load = f.load()
	return frame
}

func (f frameBuilder) data(sequence uint64, data string) *toucanhingev1.Frame {
	frame := f.frame()
	frame.Sequence = sequence
	frame.Part = &toucanhingev1.Frame_Data{Data: []byte(data)}
	return frame
}

func (f frameBuilder) end(count uint64) *toucanhingev1.Frame {
	frame := f.frame()
	frame.Part = &toucanhingev1.Frame_End{End: &toucanhingev1.End{Frames: count, Ran: toucanhingev1.Ran_RAN_YES}}
	frame.Load = f.load()
	return frame
}

func (f frameBuilder) refusal(reason string, ran toucanhingev1.Ran, retry int64) *toucanhingev1.Frame {
	frame := f.frame()
	frame.Part = &toucanhingev1.Frame_Refusal{Refusal: &toucanhingev1.Refusal{Reason: reason, Ran: ran, RetryMs: retry}}
	frame.Load = f.load()
	return frame
}

// chunk returns one event of a streamed chat response, in the format of engines.
func chunk(id, text string) string {
	quoted, _ := json.Marshal(text)
	return fmt.Sprintf(`{"id":"%s","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`, id, quoted)
}

func sendFrames(out *connect.ServerStream[toucanhingev1.Frame], frames ...*toucanhingev1.Frame) error {
	for _, frame := range frames {
		if err := out.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// respondWith returns a run function that responds with the given pieces of text, as events or as one body.
func (f *fakeSidecar) respondWith(texts ...string) runFunc {
	return func(_ context.Context, r *toucanhingev1.RunRequest, out *connect.ServerStream[toucanhingev1.Frame]) error {
		b := frameBuilder{request: r}
		if !r.GetStream() {
			return sendFrames(out, b.head(200, "application/json"), b.data(1, `{"echo":`), b.data(2, string(orNull(r.GetBody()))+"}"), b.end(2))
		}
		list := []*toucanhingev1.Frame{b.head(200, "text/event-stream")}
		for i, text := range texts {
			if uint64(i) >= r.GetResumeAfter() {
				list = append(list, b.data(uint64(i+1), chunk("chatcmpl-"+f.name, text)))
			}
		}
		return sendFrames(out, append(list, b.end(uint64(len(texts))))...)
	}
}

func orNull(body []byte) []byte {
	if len(body) == 0 {
		return []byte("null")
	}
	return body
}
