package entry

import (
	toucanhingev1 "toucanhinge.example/schema/gen/toucanhinge/v1"
)

// piece is one part of an answer. Exactly one field is set.
type piece struct {
	head    *toucanhingev1.Head
	data    []byte
	end     *toucanhingev1.End
	refusal *toucanhingev1.Refusal
}

// isLast reports whether this piece ends the answer.
func (p piece) isLast() bool {
	return p.end != nil || p.refusal != nil
}

// frame builds the piece's frame for the attempt that reads it.
func (p piece) frame(requestID string, attempt uint32, sequence uint64) *toucanhingev1.Frame {
	f := &toucanhingev1.Frame{RequestId: requestID, Attempt: attempt, Sequence: sequence}
	switch {
	case p.head != nil:
		f.Part = &toucanhingev1.Frame_Head{Head: p.head}
	case p.end != nil:
		f.Part = &toucanhingev1.Frame_End{End: p.end}
	case p.refusal != nil:
		f.Part = &toucanhingev1.Frame_Refusal{Refusal: p.refusal}
	default:
		f.Part = &toucanhingev1.Frame_Data{Data: p.data}
	}
	return f
}
