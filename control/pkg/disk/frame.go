package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame is one record in a file: magic, length of the payload, checksum, offset of the
// batch's start, payload. The checksum covers the length and everything after the checksum.
//
// A batch is the data of one write and one sync. It is written only after all data before
// it was synced. So a frame whose batch starts after a damaged offset proves that the
// damage isn't a torn tail.
const (
	frameHeaderSize = 20
	magicOffset     = 0
	lengthOffset    = 4
	checksumOffset  = 8
	batchOffset     = 12
	maxPayloadSize  = 1 << 30
)

var (
	magic      = []byte{0xd7, 'T', 'H', '1'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// appendFrame appends a frame to a buffer. batch is the file offset at which its batch
// starts.
func appendFrame(buffer []byte, batch int64, payload []byte) []byte {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(batch))
	buffer = append(buffer, payload...)
	binary.LittleEndian.PutUint32(buffer[start+checksumOffset:], checksum(buffer[start:]))
	return buffer
}

// checksum covers the length too, so that a damaged length is detected.
func checksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[lengthOffset:checksumOffset])
	return crc32.Update(sum, castagnoli, frame[batchOffset:])
}

// readFrame reads the frame at the start of data. If there is no valid frame, size is 0
// and reason explains why.
func readFrame(data []byte) (payload []byte, batch, size int64, reason string) {
	if len(data) < frameHeaderSize {
		return nil, 0, 0, "truncated record header"
	}
	if !bytes.Equal(data[magicOffset:lengthOffset], magic) {
		return nil, 0, 0, "no record at this offset"
	}
	length := int64(binary.LittleEndian.Uint32(data[lengthOffset:]))
	size = frameHeaderSize + length
	if length > maxPayloadSize || size > int64(len(data)) {
		return nil, 0, 0, "truncated record"
	}
	if checksum(data[:size]) != binary.LittleEndian.Uint32(data[checksumOffset:]) {
		return nil, 0, 0, "checksum mismatch in record"
	}
	return data[frameHeaderSize:size], int64(binary.LittleEndian.Uint64(data[batchOffset:])), size, ""
}

// hasLaterBatch reports whether data contains a valid frame of a batch that starts after
// the offset.
func hasLaterBatch(data []byte, offset int64) bool {
	for at := offset + 1; at < int64(len(data)); at++ {
		next := bytes.Index(data[at:], magic)
		if next < 0 {
			return false
		}
		at += int64(next)
		if _, batch, size, _ := readFrame(data[at:]); size > 0 && batch > offset {
			return true
		}
	}
	return false
}
