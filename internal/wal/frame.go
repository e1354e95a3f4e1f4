package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// A frame consists of a start marker (4 bytes), the payload length (4), the xxhash64 of the payload (8), the
// payload and an end marker (4). Integers are little-endian. Each frame is written and synced before the next
// one, so a valid frame proves that all frames before it were synced.
const (
	startMarker uint32 = 0x67663031
	endMarker   uint32 = 0x31306667
	headerBytes        = 16
	markerBytes        = 4
	// maxFrameBytes bounds the payload, so that a damaged length can't make the reader allocate more.
	maxFrameBytes = 256 << 20
)

// ErrDamaged is wrapped by every error that reports damage in a data folder.
var ErrDamaged = errors.New("data folder is damaged")

// appendFrame appends an encoded frame to dst.
func appendFrame(dst []byte, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, startMarker)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(payload))
	dst = append(dst, payload...)
	return binary.LittleEndian.AppendUint32(dst, endMarker)
}

// frameState is the result of checking a frame.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn means that the write of the frame was interrupted.
	frameTorn
	// frameDamaged means that the frame was written completely and has changed since.
	frameDamaged
)

// readFrame decodes the frame at the start of data, and returns its payload and its total length with the header.
func readFrame(data []byte) (payload []byte, length int, state frameState) {
	start := data[:min(markerBytes, len(data))]
	if !isMarker(start, startMarker) {
		return nil, 0, tornOrDamaged(isTornMarker(start, startMarker) && allZero(data[len(start):]))
	}
	if len(data) < headerBytes {
		return nil, 0, frameTorn
	}
	size := int(binary.LittleEndian.Uint32(data[markerBytes:]))
	length = headerBytes + size + markerBytes
	if size > maxFrameBytes {
		return nil, 0, frameDamaged
	}
	if len(data) < length {
		return nil, 0, frameTorn
	}
	payload = data[headerBytes : headerBytes+size]
	end := data[length-markerBytes : length]
	if !isMarker(end, endMarker) {
		return nil, 0, tornOrDamaged(isTornMarker(end, endMarker))
	}
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(data[markerBytes+4:]) {
		return nil, 0, frameDamaged
	}
	return payload, length, frameValid
}

func isMarker(data []byte, marker uint32) bool {
	return len(data) == markerBytes && binary.LittleEndian.Uint32(data) == marker
}

// isTornMarker reports whether the write of a marker may have been interrupted within it: data holds only its
// first bytes, followed by nothing or by zeros.
func isTornMarker(data []byte, marker uint32) bool {
	whole := binary.LittleEndian.AppendUint32(nil, marker)
	written := 0
	for written < len(data) && data[written] == whole[written] {
		written++
	}
	return written < markerBytes && allZero(data[written:])
}

// tornOrDamaged returns frameTorn if torn is true, else frameDamaged.
func tornOrDamaged(torn bool) frameState {
	if torn {
		return frameTorn
	}
	return frameDamaged
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}

// validFrameAfter reports whether a valid frame starts anywhere after the first byte of data. If one
// does, the frame at the start is damaged and not torn, even if its length exceeds the data.
func validFrameAfter(data []byte) bool {
	marker := binary.LittleEndian.AppendUint32(nil, startMarker)
	for offset := 1; offset < len(data); {
		next := bytes.Index(data[offset:], marker)
		if next < 0 {
			return false
		}
		offset += next
		if _, _, state := readFrame(data[offset:]); state == frameValid {
			return true
		}
		offset++
	}
	return false
}

// decodeFrames returns the frames of a log file and the offset after the last one, where a torn tail may start.
func decodeFrames(name string, data []byte) (frames []*apiv1.WalFrame, end int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, length, state := readFrame(data[offset:])
		if state == frameDamaged || (state == frameTorn && validFrameAfter(data[offset:])) {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: checksum mismatch at byte %d", name, offset)
		}
		if state == frameTorn {
			return frames, int64(offset), nil
		}
		frame := &apiv1.WalFrame{}
		if err := proto.Unmarshal(payload, frame); err != nil {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: decoding the frame at byte %d: %v", name, offset, err)
		}
		if n := len(frames); n > 0 && frame.Sequence != frames[n-1].Sequence+1 {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: sequence %d follows %d", name, frame.Sequence, frames[n-1].Sequence)
		}
		frames = append(frames, frame)
		offset += length
	}
	return frames, int64(offset), nil
}
