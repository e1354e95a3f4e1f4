package guavafordv1

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
)

// latin1 is text that is not valid UTF-8, as callers, targets and operators may send it.
const latin1 = "caf\xe9\xff"

// maxFillDepth limits how deep fill nests messages.
const maxFillDepth = 4

// fill sets each field of a message. A list of messages gets a record with readable strings and one with others, as if they came from
// two origins.
func fill(m protoreflect.Message, text string, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		message := fd.Message() != nil && !fd.IsMap()
		if message && depth == 0 {
			continue
		}
		switch {
		case fd.IsMap():
			if fd.MapValue().Kind() == protoreflect.StringKind {
				m.Mutable(fd).Map().Set(protoreflect.ValueOfString(text).MapKey(), protoreflect.ValueOfString(text))
			}
		case message && fd.IsList():
			list := m.Mutable(fd).List()
			fill(list.AppendMutable().Message(), "plain", depth-1)
			fill(list.AppendMutable().Message(), text, depth-1)
		case message:
			fill(m.Mutable(fd).Message(), text, depth-1)
		case fd.Kind() != protoreflect.StringKind:
		case fd.IsList():
			list := m.Mutable(fd).List()
			list.Append(protoreflect.ValueOfString("plain"))
			list.Append(protoreflect.ValueOfString(text))
		default:
			m.Set(fd, protoreflect.ValueOfString(text))
		}
	}
}

// TestUnreadableTextDoesNotStopAMessage guards against one string that is not UTF-8 making a message impossible to encode, and with it
// the records of all other origins that the message carries.
func TestUnreadableTextDoesNotStopAMessage(t *testing.T) {
	files := []protoreflect.FileDescriptor{
		File_guavaford_v1_call_proto, File_guavaford_v1_control_proto, File_guavaford_v1_peer_proto,
		File_guavaford_v1_raft_proto, File_guavaford_v1_runrecord_proto,
	}
	for _, file := range files {
		for i := range file.Messages().Len() {
			descriptor := file.Messages().Get(i)
			t.Run(string(descriptor.Name()), func(t *testing.T) {
				m := newMessage(t, descriptor)
				fill(m.ProtoReflect(), latin1, maxFillDepth)
				data, err := proto.Marshal(m)
				require.NoError(t, err)
				got := newMessage(t, descriptor)
				require.NoError(t, proto.Unmarshal(data, got))
				require.True(t, proto.Equal(m, got), "a string was changed on its way")
			})
		}
	}
}

func newMessage(t *testing.T, d protoreflect.MessageDescriptor) proto.Message {
	t.Helper()
	kind, err := protoregistry.GlobalTypes.FindMessageByName(d.FullName())
	require.NoError(t, err)
	return kind.New().Interface()
}
