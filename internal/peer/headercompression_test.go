package peer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// self is the node that sends the headers of these tests.
var self = Identity{Node: "sidecar-qld-east-a-3", Incarnation: 1869277325965378413}

// nestedCall is a typical call that a target makes while it serves a request; there are thousands of them a second.
func nestedCall(number uint64) *apiv1.CallHeader {
	return &apiv1.CallHeader{
		Key:       &apiv1.CallKey{Node: self.Node, Incarnation: self.Incarnation, Number: number},
		RequestId: fmt.Sprintf("631a42e61dbd8133.2bc0db962a4f5c01.c10b29b9ea5f3091.%016x", number),
		Service:   "leno84d", Target: "i-7c82772c03", Weight: 1, Class: "priority-1", Depth: 1, TimeoutNs: 653982945, Idempotent: true,
		Method: "GET", Path: fmt.Sprintf("/yelo796/%06x", number), Route: "r-hixmzj2", Host: "noti90.example",
		CallerService: "mivo9c", MaxWaitNs: 653997949,
		Headers: []*apiv1.HeaderField{
			{Name: "User-Agent", Value: "sdk-client/1.9.3"}, {Name: "Accept", Value: "*/*"}, {Name: "Accept-Encoding", Value: "identity"},
		},
	}
}

func nestedAnswer(call *apiv1.CallHeader) *apiv1.AnswerHeader {
	return &apiv1.AnswerHeader{
		Key: call.Key, Status: 200, ContentLength: 600, Load: &apiv1.LoadReport{InFlight: 3, Limit: 136, LatencyNs: 127138453},
		Headers: []*apiv1.HeaderField{
			{Name: "Content-Type", Value: "application/octet-stream"},
			{Name: "Guavaford-Signature", Value: fmt.Sprintf("7.b0bd.258.0.%016x", call.Key.Number)},
		},
	}
}

// TestRepeatedHeadersAreShort guards against fields that are sent again although they repeat, when calls to one target
// follow one another on a stream. Calls are most of the traffic between data centres.
func TestRepeatedHeadersAreShort(t *testing.T) {
	var sender, receiver, answerSender, answerReceiver headerHistory
	for number := range uint64(3) {
		call := nestedCall(number)
		wire := sender.compressCall(call, self)
		size := proto.Size(wire)
		require.NoError(t, receiver.decompressCall(wire, self))
		require.True(t, proto.Equal(nestedCall(number), wire))
		require.True(t, proto.Equal(nestedCall(number), call), "compressing changed the sender's header")
		answer := nestedAnswer(call)
		answerWire := answerSender.compressAnswer(answer)
		answerSize := proto.Size(answerWire)
		require.NoError(t, answerReceiver.decompressAnswer(answerWire, call.Key))
		require.True(t, proto.Equal(answer, answerWire))
		if number > 0 {
			require.Less(t, size, 100, "the uncompressed header has %d bytes", proto.Size(call))
			require.Less(t, answerSize, 70, "the uncompressed header has %d bytes", proto.Size(answer))
		}
	}
}

// TestCompressionKeepsEveryField guards against a header field that is added to the API and forgotten in the
// compression: it sets every field of a header by reflection.
func TestCompressionKeepsEveryField(t *testing.T) {
	call := &apiv1.CallHeader{}
	fill(call.ProtoReflect())
	call.Same, call.RequestGroups = 0, nil
	for range 2 {
		var sender, receiver headerHistory
		for range 2 {
			wire := sender.compressCall(call, self)
			require.NoError(t, receiver.decompressCall(wire, self))
			require.True(t, proto.Equal(call, wire), "%v", wire)
		}
	}
	answer := &apiv1.AnswerHeader{}
	fill(answer.ProtoReflect())
	var sender, receiver headerHistory
	for range 2 {
		wire := sender.compressAnswer(answer)
		require.NoError(t, receiver.decompressAnswer(wire, answer.Key))
		require.True(t, proto.Equal(answer, wire), "%v", wire)
	}
}

// fill sets every field of a message to a non-zero value.
func fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList() && f.Message() != nil:
			list := m.Mutable(f).List()
			element := list.NewElement()
			fill(element.Message())
			list.Append(element)
		case f.Message() != nil:
			fill(m.Mutable(f).Message())
		default:
			m.Set(f, sample(f))
		}
	}
}

func sample(f protoreflect.FieldDescriptor) protoreflect.Value {
	n := int(f.Number())
	switch f.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("text-", n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(n)})
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	default:
		return protoreflect.ValueOfInt64(int64(n))
	}
}

// TestCompressionRoundTrip guards against headers that differ after decompression: it generates random series of
// headers in which fields repeat, change, appear and disappear.
func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SampledFrom([]string{"", "a", "b", "631a42e61dbd8133", "631a42e61dbd8133.2bc0db962a4f5c01", "631A42E61DBD8133", "631a42e61dbd8133."})
		name := rapid.SampledFrom([]string{"x", "y"})
		var sender, receiver headerHistory
		for range rapid.IntRange(1, 6).Draw(t, "calls") {
			call := &apiv1.CallHeader{
				Key:       &apiv1.CallKey{Node: rapid.SampledFrom([]string{self.Node, "other"}).Draw(t, "node"), Incarnation: self.Incarnation, Number: 1},
				RequestId: word.Draw(t, "id"), Service: word.Draw(t, "service"), Class: word.Draw(t, "class"),
				Priority: rapid.Uint32Range(0, 1).Draw(t, "priority"), Host: word.Draw(t, "host"), CallerService: word.Draw(t, "caller"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "fields") {
				call.Headers = append(call.Headers, &apiv1.HeaderField{Name: name.Draw(t, "name"), Value: word.Draw(t, "value")})
			}
			wire := sender.compressCall(call, self)
			if err := receiver.decompressCall(wire, self); err != nil || !proto.Equal(call, wire) {
				t.Fatalf("sent %v, got %v, %v", call, wire, err)
			}
		}
	})
}

// TestOmittedFieldWithoutHistoryIsAnError guards against a crash or an empty field when a faulty peer omits fields that
// it never sent.
func TestOmittedFieldWithoutHistoryIsAnError(t *testing.T) {
	var m headerHistory
	require.ErrorIs(t, m.decompressCall(&apiv1.CallHeader{Same: sameHost}, self), errMissingHistory)
	require.ErrorIs(t, m.decompressCall(&apiv1.CallHeader{Headers: []*apiv1.HeaderField{{}}}, self), errMissingHistory)
	require.ErrorIs(t, m.decompressAnswer(&apiv1.AnswerHeader{Headers: []*apiv1.HeaderField{{}}}, nil), errMissingHistory)
	require.NoError(t, m.decompressCall(&apiv1.CallHeader{RequestGroups: []byte{1, 2, 3}}, self))
}
