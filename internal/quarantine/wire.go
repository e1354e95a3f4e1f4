package quarantine

import (
	"time"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// maxTextBytes bounds the names in a record of another node.
const maxTextBytes = 512

// Message returns the record for other nodes. Times travel as ages, since the clocks of hosts differ.
func (r Record) Message(now time.Time) *apiv1.QuarantineRecord {
	m := &apiv1.QuarantineRecord{Fingerprint: r.Fingerprint[:], Service: r.Service, Organisation: r.Organisation}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, &apiv1.CrashRecord{
			Target: c.Target, AgeMs: ageMs(now, c.At), InFlight: uint32(c.InFlight), OnTrial: c.OnTrial, Alone: c.Alone, Trusted: c.Trusted,
		})
	}
	if !r.Cleared.IsZero() {
		m.Cleared, m.ClearedAgeMs = true, ageMs(now, r.Cleared)
	}
	return m
}

// FromMessage returns the record in a message; ok is false if it is not valid.
func FromMessage(now time.Time, m *apiv1.QuarantineRecord) (r Record, ok bool) {
	f, err := FromBytes(m.GetFingerprint())
	if err != nil || len(m.GetService()) > maxTextBytes || len(m.GetOrganisation()) > maxTextBytes || len(m.GetCrashes()) > maxCrashes {
		return Record{}, false
	}
	r = Record{Fingerprint: f, Service: m.GetService(), Organisation: m.GetOrganisation()}
	if m.GetCleared() {
		r.Cleared = timeOf(now, m.GetClearedAgeMs())
	}
	for _, c := range m.GetCrashes() {
		if c.GetTarget() == "" || len(c.GetTarget()) > maxTextBytes {
			return Record{}, false
		}
		r.Crashes = append(r.Crashes, Crash{
			Target: c.GetTarget(), At: timeOf(now, c.GetAgeMs()), InFlight: int(c.GetInFlight()), OnTrial: c.GetOnTrial(), Alone: c.GetAlone(), Trusted: c.GetTrusted(),
		})
	}
	return r, true
}

// Messages returns records for other nodes.
func Messages(now time.Time, records []Record) []*apiv1.QuarantineRecord {
	messages := make([]*apiv1.QuarantineRecord, 0, len(records))
	for _, r := range records {
		messages = append(messages, r.Message(now))
	}
	return messages
}

// FromMessages returns the valid records in messages.
func FromMessages(now time.Time, messages []*apiv1.QuarantineRecord) []Record {
	records := make([]Record, 0, len(messages))
	for _, m := range messages {
		if r, ok := FromMessage(now, m); ok {
			records = append(records, r)
		}
	}
	return records
}

func ageMs(now, at time.Time) uint64 {
	return uint64(max(now.Sub(at).Milliseconds(), 0))
}

// timeOf returns the time of an age. Ages beyond what is remembered are cut.
func timeOf(now time.Time, ms uint64) time.Time {
	return now.Add(-time.Duration(min(ms, uint64((2*maxQuarantine).Milliseconds()))) * time.Millisecond)
}
