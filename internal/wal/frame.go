package wal

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// A frame is: start mark (4 bytes), payload length (4), xxhash64 of payload (8), payload, end mark (4).
// One synced write adds one frame, so a valid frame proves that all frames before it were synced.
const (
	startMark   uint32 = 0x67663031
	endMark     uint32 = 0x31306667
	headerBytes        = 16
	markBytes          = 4
	// maxFrameBytes bounds what a damaged length can make the reader allocate.
	maxFrameBytes = 256 << 20
)

// ErrDamaged marks every error that reports damage in a data folder.
var ErrDamaged = errors.New("data folder is damaged")

// appendFrame encodes a frame behind dst.
func appendFrame(dst []byte, payload []byte) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, startMark)
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(payload)))
	dst = binary.LittleEndian.AppendUint64(dst, xxhash.Sum64(payload))
	dst = append(dst, payload...)
	return binary.LittleEndian.AppendUint32(dst, endMark)
}

// frameState is what readFrame found.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn: the write of the frame was cut short.
	frameTorn
	// frameDamaged: the frame was written whole and has changed since.
	frameDamaged
)

// readFrame decodes the frame at the start of data, and returns its payload and total length.
func readFrame(data []byte) (payload []byte, length int, state frameState) {
	start := data[:min(markBytes, len(data))]
	if !isMark(start, startMark) {
		return nil, 0, unlessDamaged(cutShort(start, startMark) && allZero(data[len(start):]))
	}
	if len(data) < headerBytes {
		return nil, 0, frameTorn
	}
	size := int(binary.LittleEndian.Uint32(data[markBytes:]))
	length = headerBytes + size + markBytes
	if size > maxFrameBytes {
		return nil, 0, frameDamaged
	}
	if len(data) < length {
		return nil, 0, frameTorn
	}
	payload = data[headerBytes : headerBytes+size]
	end := data[length-markBytes : length]
	if !isMark(end, endMark) {
		return nil, 0, unlessDamaged(cutShort(end, endMark))
	}
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(data[markBytes+4:]) {
		return nil, 0, frameDamaged
	}
	return payload, length, frameValid
}

func isMark(data []byte, mark uint32) bool {
	return len(data) == markBytes && binary.LittleEndian.Uint32(data) == mark
}

// cutShort reports whether the write of a mark may have ended within it: it holds the first
// bytes of the mark, and nothing or zeros behind them.
func cutShort(data []byte, mark uint32) bool {
	whole := binary.LittleEndian.AppendUint32(nil, mark)
	written := 0
	for written < len(data) && data[written] == whole[written] {
		written++
	}
	return written < markBytes && allZero(data[written:])
}

func unlessDamaged(torn bool) frameState {
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

// validFrameAfter reports whether any valid frame starts behind the first byte of data.
// It finds frames whose predecessor's length is damaged.
func validFrameAfter(data []byte) bool {
	mark := binary.LittleEndian.AppendUint32(nil, startMark)
	for offset := 1; offset < len(data); {
		next := bytes.Index(data[offset:], mark)
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

// decodeFrames returns the frames of a log file and the offset at which a torn tail starts.
func decodeFrames(name string, data []byte) (frames []*apiv1.WalFrame, end int64, err error) {
	offset := 0
	for offset < len(data) {
		payload, length, state := readFrame(data[offset:])
		if state == frameDamaged || (state == frameTorn && validFrameAfter(data[offset:])) {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: checksum fault at byte %d", name, offset)
		}
		if state == frameTorn {
			return frames, int64(offset), nil
		}
		frame := &apiv1.WalFrame{}
		if err := proto.Unmarshal(payload, frame); err != nil {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: byte %d does not decode: %v", name, offset, err)
		}
		if n := len(frames); n > 0 && frame.Sequence != frames[n-1].Sequence+1 {
			return nil, 0, errors.Wrapf(ErrDamaged, "%s: frame %d follows frame %d", name, frame.Sequence, frames[n-1].Sequence)
		}
		frames = append(frames, frame)
		offset += length
	}
	return frames, int64(offset), nil
}
