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

// chainCall is a call below a request, as the users' targets make thousands of a second.
func chainCall(number uint64) *apiv1.CallHeader {
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

func chainAnswer(call *apiv1.CallHeader) *apiv1.AnswerHeader {
	return &apiv1.AnswerHeader{
		Key: call.Key, Status: 200, ContentLength: 600, Load: &apiv1.LoadReport{InFlight: 3, Limit: 136, LatencyNs: 127138453},
		Headers: []*apiv1.HeaderField{
			{Name: "Content-Type", Value: "application/octet-stream"},
			{Name: "Guavaford-Signature", Value: fmt.Sprintf("7.b0bd.258.0.%016x", call.Key.Number)},
		},
	}
}

// TestRepeatedHeadersAreShort: calls to one target follow one another on a stream. Only what differs may travel, since
// calls between data centres are most of what crosses them.
func TestRepeatedHeadersAreShort(t *testing.T) {
	var sender, receiver, answerer, asker headerMemory
	for number := range uint64(3) {
		call := chainCall(number)
		wire := sender.shrinkCall(call, self)
		size := proto.Size(wire)
		require.NoError(t, receiver.restoreCall(wire, self))
		require.True(t, proto.Equal(chainCall(number), wire))
		require.True(t, proto.Equal(chainCall(number), call), "the sender's header stays as it is")
		answer := chainAnswer(call)
		answerWire := answerer.shrinkAnswer(answer)
		answerSize := proto.Size(answerWire)
		require.NoError(t, asker.restoreAnswer(answerWire, call.Key))
		require.True(t, proto.Equal(answer, answerWire))
		if number > 0 {
			require.Less(t, size, 100, "of %d", proto.Size(call))
			require.Less(t, answerSize, 70, "of %d", proto.Size(answer))
		}
	}
}

// TestNoFieldIsLost fills every field that a header has, so that a field which is added later can't be forgotten here.
func TestNoFieldIsLost(t *testing.T) {
	call := &apiv1.CallHeader{}
	fill(call.ProtoReflect())
	call.Same, call.RequestGroups = 0, nil
	for range 2 {
		var sender, receiver headerMemory
		for range 2 {
			wire := sender.shrinkCall(call, self)
			require.NoError(t, receiver.restoreCall(wire, self))
			require.True(t, proto.Equal(call, wire), "%v", wire)
		}
	}
	answer := &apiv1.AnswerHeader{}
	fill(answer.ProtoReflect())
	var sender, receiver headerMemory
	for range 2 {
		wire := sender.shrinkAnswer(answer)
		require.NoError(t, receiver.restoreAnswer(wire, answer.Key))
		require.True(t, proto.Equal(answer, wire), "%v", wire)
	}
}

// fill sets every field of a message to something.
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

// TestHeadersComeBackAsTheyWere draws series of headers in which fields repeat, change, come and go.
func TestHeadersComeBackAsTheyWere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.SampledFrom([]string{"", "a", "b", "631a42e61dbd8133", "631a42e61dbd8133.2bc0db962a4f5c01", "631A42E61DBD8133", "631a42e61dbd8133."})
		name := rapid.SampledFrom([]string{"x", "y"})
		var sender, receiver headerMemory
		for range rapid.IntRange(1, 6).Draw(t, "calls") {
			call := &apiv1.CallHeader{
				Key:       &apiv1.CallKey{Node: rapid.SampledFrom([]string{self.Node, "other"}).Draw(t, "node"), Incarnation: self.Incarnation, Number: 1},
				RequestId: word.Draw(t, "id"), Service: word.Draw(t, "service"), Class: word.Draw(t, "class"),
				Priority: rapid.Uint32Range(0, 1).Draw(t, "priority"), Host: word.Draw(t, "host"), CallerService: word.Draw(t, "caller"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "fields") {
				call.Headers = append(call.Headers, &apiv1.HeaderField{Name: name.Draw(t, "name"), Value: word.Draw(t, "value")})
			}
			wire := sender.shrinkCall(call, self)
			if err := receiver.restoreCall(wire, self); err != nil || !proto.Equal(call, wire) {
				t.Fatalf("sent %v, got %v, %v", call, wire, err)
			}
		}
	})
}

// TestHeaderThatBuildsOnNothing: a faulty peer leaves out what it never sent.
func TestHeaderThatBuildsOnNothing(t *testing.T) {
	var m headerMemory
	require.ErrorIs(t, m.restoreCall(&apiv1.CallHeader{Same: sameHost}, self), errMissingContext)
	require.ErrorIs(t, m.restoreCall(&apiv1.CallHeader{Headers: []*apiv1.HeaderField{{}}}, self), errMissingContext)
	require.ErrorIs(t, m.restoreAnswer(&apiv1.AnswerHeader{Headers: []*apiv1.HeaderField{{}}}, nil), errMissingContext)
	require.NoError(t, m.restoreCall(&apiv1.CallHeader{RequestGroups: []byte{1, 2, 3}}, self))
}
