package peer

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// bodyFrame is a decoded apiv1.BodyFrame whose data aliases the read buffer. The
// generated decoder would copy the data of each frame.
type bodyFrame struct {
	data          []byte
	last          bool
	length        uint64
	checksum      uint64
	allowanceLeft uint32
	aborted       bool
	reuse         bool
}

// Field numbers of apiv1.BodyFrame.
const (
	bodyFieldData          protowire.Number = 1
	bodyFieldLast          protowire.Number = 2
	bodyFieldLength        protowire.Number = 3
	bodyFieldChecksum      protowire.Number = 4
	bodyFieldAllowanceLeft protowire.Number = 5
	bodyFieldAborted       protowire.Number = 6
	bodyFieldReuse         protowire.Number = 7
)

// parseBodyFrame decodes a frame. Unknown fields are skipped.
func parseBodyFrame(raw []byte) (bodyFrame, error) {
	var f bodyFrame
	for len(raw) > 0 {
		number, kind, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return f, errors.Wrap(protowire.ParseError(n), "body frame")
		}
		raw = raw[n:]
		switch {
		case number == bodyFieldData && kind == protowire.BytesType:
			f.data, n = protowire.ConsumeBytes(raw)
		case kind == protowire.VarintType:
			var value uint64
			value, n = protowire.ConsumeVarint(raw)
			f.set(number, value)
		default:
			n = protowire.ConsumeFieldValue(number, kind, raw)
		}
		if n < 0 {
			return f, errors.Wrap(protowire.ParseError(n), "body frame")
		}
		raw = raw[n:]
	}
	return f, nil
}

// set stores the value of a varint field.
func (f *bodyFrame) set(number protowire.Number, value uint64) {
	switch number {
	case bodyFieldLast:
		f.last = protowire.DecodeBool(value)
	case bodyFieldLength:
		f.length = value
	case bodyFieldChecksum:
		f.checksum = value
	case bodyFieldAllowanceLeft:
		f.allowanceLeft = uint32(value)
	case bodyFieldAborted:
		f.aborted = protowire.DecodeBool(value)
	case bodyFieldReuse:
		f.reuse = protowire.DecodeBool(value)
	}
}
