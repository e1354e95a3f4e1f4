package peer

import (
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Header compression: most header fields repeat those of the previous exchange on the same stream, since a connection
// leads to one node and mostly to one target. Both ends of a stream keep the last header of each direction, and equal
// fields are not sent again.

// Bits of CallHeader.same, which tells the groups of fields that were left out because they repeat.
const (
	sameService uint32 = 1 << iota
	sameTarget
	sameOrganisation
	sameClass
	sameMethod
	sameRoute
	sameHost
	sameCaller
)

const (
	// groupBytes and groupDigits are the sizes of one hexadecimal group of a request id.
	groupBytes  = 8
	groupDigits = 2 * groupBytes
)

// errMissingHistory is returned for a header that omits a field which no earlier header of the stream set.
var errMissingHistory = errors.New("header omits fields that no earlier header on the stream has set")

// headerHistory is the compression state at one end of a stream: the fields of the last headers. It needs no lock,
// since a stream carries one exchange at a time.
type headerHistory struct {
	// call holds the fields of the last call; hasCall is set once there was one.
	call    callFields
	hasCall bool
	fields  []field
	answer  []field
}

// callFields are the fields of a call header that are omitted if they repeat.
type callFields struct {
	service, target, organisation, class string
	weight                               float64
	priority                             uint32
	method, route, host, caller          string
}

// field is an HTTP header field.
type field struct{ name, value string }

// compressCall returns the compressed form of a header that node self sends. It does not change h.
func (m *headerHistory) compressCall(h *apiv1.CallHeader, self Identity) *apiv1.CallHeader {
	out := &apiv1.CallHeader{
		Key: h.Key, RequestId: h.RequestId, Service: h.Service, Target: h.Target, Organisation: h.Organisation,
		Weight: h.Weight, Class: h.Class, Priority: h.Priority, Depth: h.Depth, TimeoutNs: h.TimeoutNs,
		Allowance: h.Allowance, Level: h.Level, KeyNumber: h.KeyNumber, Idempotent: h.Idempotent, Method: h.Method,
		Path: h.Path, ContentLength: h.ContentLength, Attempt: h.Attempt, Route: h.Route, Host: h.Host,
		CallerService: h.CallerService, MaxWaitNs: h.MaxWaitNs, Repeat: h.Repeat, KnownRateLimit: h.KnownRateLimit,
		BodyDigest: h.BodyDigest, Suspect: h.Suspect, MayMove: h.MayMove,
	}
	if h.Key.GetNode() == self.Node && h.Key.GetIncarnation() == self.Incarnation {
		out.Key = &apiv1.CallKey{Number: h.Key.GetNumber()}
	}
	if groups, ok := packGroups(h.RequestId); ok {
		out.RequestId, out.RequestGroups = "", groups
	}
	next := fieldsOf(h)
	if m.hasCall {
		omitSame(out, next.sameAs(&m.call))
	}
	m.call, m.hasCall = next, true
	out.Headers, m.fields = compressFields(h.Headers, m.fields)
	return out
}

// fieldsOf returns the fields of a call header that may be omitted.
func fieldsOf(h *apiv1.CallHeader) callFields {
	return callFields{
		service: h.Service, target: h.Target, organisation: h.Organisation, class: h.Class, weight: h.Weight,
		priority: h.Priority, method: h.Method, route: h.Route, host: h.Host, caller: h.CallerService,
	}
}

// sameAs returns the bits of the field groups that equal those of old.
func (f *callFields) sameAs(old *callFields) uint32 {
	var same uint32
	for _, group := range []struct {
		bit   uint32
		equal bool
	}{
		{sameService, f.service == old.service},
		{sameTarget, f.target == old.target},
		{sameOrganisation, f.organisation == old.organisation},
		{sameClass, f.class == old.class && f.weight == old.weight && f.priority == old.priority},
		{sameMethod, f.method == old.method},
		{sameRoute, f.route == old.route},
		{sameHost, f.host == old.host},
		{sameCaller, f.caller == old.caller},
	} {
		if group.equal {
			same |= group.bit
		}
	}
	return same
}

// omitSame clears the field groups of a header that equal those of the previous header.
func omitSame(h *apiv1.CallHeader, same uint32) {
	h.Same = same
	copySame(h, &callFields{}, same)
}

// copySame copies the given field groups into a header.
func copySame(h *apiv1.CallHeader, from *callFields, groups uint32) {
	if groups&sameService != 0 {
		h.Service = from.service
	}
	if groups&sameTarget != 0 {
		h.Target = from.target
	}
	if groups&sameOrganisation != 0 {
		h.Organisation = from.organisation
	}
	if groups&sameClass != 0 {
		h.Class, h.Weight, h.Priority = from.class, from.weight, from.priority
	}
	if groups&sameMethod != 0 {
		h.Method = from.method
	}
	if groups&sameRoute != 0 {
		h.Route = from.route
	}
	if groups&sameHost != 0 {
		h.Host = from.host
	}
	if groups&sameCaller != 0 {
		h.CallerService = from.caller
	}
}

// decompressCall restores, in place, a header that was received from a node.
func (m *headerHistory) decompressCall(h *apiv1.CallHeader, from Identity) error {
	completeKey(h.GetKey(), &apiv1.CallKey{Node: from.Node, Incarnation: from.Incarnation})
	if len(h.RequestGroups) > 0 {
		h.RequestId, h.RequestGroups = unpackGroups(h.RequestGroups), nil
	}
	if h.Same != 0 {
		if !m.hasCall {
			return errMissingHistory
		}
		copySame(h, &m.call, h.Same)
		h.Same = 0
	}
	m.call, m.hasCall = fieldsOf(h), true
	var err error
	m.fields, err = decompressFields(h.Headers, m.fields)
	return err
}

// compressAnswer returns the compressed form of an answer header. It does not change h.
func (m *headerHistory) compressAnswer(h *apiv1.AnswerHeader) *apiv1.AnswerHeader {
	out := &apiv1.AnswerHeader{
		Key: &apiv1.CallKey{Number: h.Key.GetNumber()}, Refusal: h.Refusal, Status: h.Status,
		ContentLength: h.ContentLength, Load: h.Load, PassedOn: h.PassedOn,
	}
	out.Headers, m.answer = compressFields(h.Headers, m.answer)
	return out
}

// decompressAnswer restores, in place, the header of an answer to a call.
func (m *headerHistory) decompressAnswer(h *apiv1.AnswerHeader, call *apiv1.CallKey) error {
	completeKey(h.GetKey(), call)
	var err error
	m.answer, err = decompressFields(h.Headers, m.answer)
	return err
}

// completeKey fills in a key of which only the number was sent.
func completeKey(key, full *apiv1.CallKey) {
	if key != nil && key.Node == "" && key.Incarnation == 0 {
		key.Node, key.Incarnation = full.GetNode(), full.GetIncarnation()
	}
}

// compressFields returns header fields without what equals the previous fields at the same index, and the fields to
// keep for the next header. It reuses the memory of old.
func compressFields(fields []*apiv1.HeaderField, old []field) (out []*apiv1.HeaderField, kept []field) {
	kept = old[:0]
	storage := make([]apiv1.HeaderField, len(fields))
	out = make([]*apiv1.HeaderField, len(fields))
	for i, f := range fields {
		out[i] = &storage[i]
		out[i].Name, out[i].Value = f.Name, f.Value
		if i < len(old) && old[i].name == f.Name {
			switch {
			case old[i].value == f.Value:
				out[i].Name, out[i].Value = "", ""
			case f.Value != "":
				out[i].Name = ""
			}
		}
		kept = append(kept, field{f.Name, f.Value})
	}
	return out, kept
}

// decompressFields restores header fields in place and returns the fields to keep for the next header. It reuses the
// memory of old.
func decompressFields(fields []*apiv1.HeaderField, old []field) (kept []field, err error) {
	kept = old[:0]
	for i, f := range fields {
		if f.GetName() == "" {
			if i >= len(old) {
				return nil, errMissingHistory
			}
			f.Name = old[i].name
			if f.Value == "" {
				f.Value = old[i].value
			}
		}
		kept = append(kept, field{f.Name, f.Value})
	}
	return kept, nil
}

// packGroups encodes an id of lower-case hexadecimal groups, joined by dots, as bytes. It returns false for other ids.
func packGroups(id string) ([]byte, bool) {
	if (len(id)+1)%(groupDigits+1) != 0 || id != strings.ToLower(id) {
		return nil, false
	}
	packed := make([]byte, 0, (len(id)+1)/(groupDigits+1)*groupBytes)
	for len(id) > 0 {
		var err error
		if packed, err = hex.AppendDecode(packed, []byte(id[:groupDigits])); err != nil {
			return nil, false
		}
		id = id[groupDigits:]
		if id == "" {
			return packed, true
		}
		if id[0] != '.' || len(id) == 1 {
			return nil, false
		}
		id = id[1:]
	}
	return nil, false
}

// unpackGroups is the inverse of packGroups.
func unpackGroups(packed []byte) string {
	var id []byte
	for len(packed) > 0 {
		if len(id) > 0 {
			id = append(id, '.')
		}
		n := min(groupBytes, len(packed))
		id = hex.AppendEncode(id, packed[:n])
		packed = packed[n:]
	}
	return string(id)
}
