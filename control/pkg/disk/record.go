package disk

import (
	"encoding/binary"

	"github.com/pkg/errors"

	"toucanhinge.example/control/pkg/consensus"
)

type recordKind byte

const (
	recordFileHeader recordKind = iota + 1
	recordState
	recordEntry
)

var errMalformedRecord = errors.New("malformed record")

// fileHeader is the first record of a file. It contains what the log needs when all files
// before it are removed.
type fileHeader struct {
	base consensus.Base
	// reset marks the files before this one as obsolete.
	reset bool
	state consensus.HardState
}

func (h fileHeader) encode() []byte {
	payload := []byte{byte(recordFileHeader), 0}
	if h.reset {
		payload[1] = 1
	}
	payload = binary.LittleEndian.AppendUint64(payload, h.base.Index)
	payload = binary.LittleEndian.AppendUint64(payload, h.base.Term)
	return append(payload, encodeState(h.state)...)
}

func decodeFileHeader(payload []byte) (fileHeader, error) {
	const fixedBytes = 18
	if len(payload) < fixedBytes || recordKind(payload[0]) != recordFileHeader {
		return fileHeader{}, errMalformedRecord
	}
	state, err := decodeState(payload[fixedBytes:])
	return fileHeader{
		reset: payload[1] == 1,
		base: consensus.Base{
			Index: binary.LittleEndian.Uint64(payload[2:]),
			Term:  binary.LittleEndian.Uint64(payload[10:]),
		},
		state: state,
	}, err
}

func encodeState(state consensus.HardState) []byte {
	payload := []byte{byte(recordState)}
	payload = binary.LittleEndian.AppendUint64(payload, state.Term)
	return append(payload, state.Vote...)
}

func decodeState(payload []byte) (consensus.HardState, error) {
	const fixedBytes = 9
	if len(payload) < fixedBytes || recordKind(payload[0]) != recordState {
		return consensus.HardState{}, errMalformedRecord
	}
	return consensus.HardState{
		Term: binary.LittleEndian.Uint64(payload[1:]),
		Vote: string(payload[fixedBytes:]),
	}, nil
}

func encodeEntry(e consensus.Entry) []byte {
	payload := make([]byte, 0, 21+len(e.Data))
	payload = append(payload, byte(recordEntry))
	payload = binary.LittleEndian.AppendUint64(payload, e.Index)
	payload = binary.LittleEndian.AppendUint64(payload, e.Term)
	payload = binary.LittleEndian.AppendUint32(payload, uint32(e.Kind))
	return append(payload, e.Data...)
}

func decodeEntry(payload []byte) (consensus.Entry, error) {
	const fixedBytes = 21
	if len(payload) < fixedBytes || recordKind(payload[0]) != recordEntry {
		return consensus.Entry{}, errMalformedRecord
	}
	return consensus.Entry{
		Index: binary.LittleEndian.Uint64(payload[1:]),
		Term:  binary.LittleEndian.Uint64(payload[9:]),
		Kind:  consensus.EntryKind(binary.LittleEndian.Uint32(payload[17:])),
		Data:  payload[fixedBytes:],
	}, nil
}
