package keys

import (
	"crypto/subtle"
	"maps"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Status is the result of verifying a key.
type Status int

// The results of Verify.
const (
	// Valid is a key that was issued and not withdrawn.
	Valid Status = iota
	// Unknown is a well-formed key that was never issued, or whose secret is wrong.
	Unknown
	// Withdrawn is a key that was issued and withdrawn.
	Withdrawn
	// Malformed is text that is not a key.
	Malformed
)

// Record identifies a verified key and its organisation.
type Record struct {
	// Number is the sequence number of the key, starting at 1.
	Number       uint64
	Organisation string
}

const (
	// pageKeys is the number of keys per page. With copies each page in which it issues keys.
	pageKeys = 1024
	// hashBytes is the length of the truncated SHA-256 hash that the table keeps. A preimage takes
	// about 2^128 tries; collisions don't matter, since the key number selects the hash to compare.
	hashBytes = 16
	// maxNumber bounds the memory that a corrupt record with a huge number could allocate.
	maxNumber = 1 << 32
)

// entry holds the hash and the organisation of one key.
type entry struct {
	hash [hashBytes]byte
	// organisation is an index into Table.organisations; 0 means that no key has this number.
	organisation uint32
}

// page holds the keys of consecutive numbers.
type page [pageKeys]entry

// Table holds all keys by number. It is immutable and safe for concurrent use.
type Table struct {
	pages []*page
	// withdrawn has a bit for each key number.
	withdrawn bitVector
	// organisations holds the names that entries refer to; index 0 is unused.
	organisations []string
	// organisationIndexes holds the index of each name in organisations.
	organisationIndexes map[string]uint32
	issuedCount         int
	withdrawnCount      int
}

// NewTable returns a table of the records.
func NewTable(records []*apiv1.KeyRecord) *Table {
	t := &Table{organisations: []string{""}, organisationIndexes: map[string]uint32{}}
	return t.With(records, nil)
}

// With returns a table in which further keys are issued and withdrawn; t does not change.
// A record whose number already exists replaces the old record.
func (t *Table) With(issued []*apiv1.KeyRecord, withdrawn []uint64) *Table {
	e := newTableEditor(t)
	for _, r := range issued {
		e.issue(r)
	}
	for _, number := range withdrawn {
		e.withdraw(number)
	}
	return e.finish()
}

// Len returns the number of keys that were issued, withdrawn ones included, and how
// many of them were withdrawn.
func (t *Table) Len() (issued, withdrawn int) {
	return t.issuedCount, t.withdrawnCount
}

// Verify checks a key as the caller sent it. The record is set when the status
// is Valid or Withdrawn. The hash of the secret is compared in constant time, and Withdrawn is
// returned only for the right secret.
func (t *Table) Verify(key string) (Record, Status) {
	number, hash, ok := parse(key)
	if !ok {
		return Record{}, Malformed
	}
	found := t.entry(number)
	equal := subtle.ConstantTimeCompare(found.hash[:], hash[:hashBytes]) == 1
	if found.organisation == 0 || !equal {
		return Record{}, Unknown
	}
	record := Record{Number: number, Organisation: t.organisations[found.organisation]}
	if t.withdrawn.get(number) {
		return record, Withdrawn
	}
	return record, Valid
}

// Withdrawn reports whether the key with the number was withdrawn. It returns false for number 0,
// which means a request without a key, and for numbers that are not in the table yet.
func (t *Table) Withdrawn(number uint64) bool {
	return t.withdrawn.get(number)
}

// entry returns the entry of a number, or the zero entry if no key has this number.
func (t *Table) entry(number uint64) entry {
	index := number / pageKeys
	if index >= uint64(len(t.pages)) {
		return entry{}
	}
	return t.pages[index][number%pageKeys]
}

// tableEditor builds the next version of a table and copies each page at most once.
type tableEditor struct {
	next          *Table
	withdrawnBits *bitEditor
	// copiedPages, copiedPageList and copiedIndexes tell which parts are no longer shared with
	// the old table and may be modified.
	copiedPages    map[uint64]bool
	copiedPageList bool
	copiedIndexes  bool
}

func newTableEditor(t *Table) *tableEditor {
	next := *t
	next.organisations = t.organisations[:len(t.organisations):len(t.organisations)]
	return &tableEditor{next: &next, withdrawnBits: t.withdrawn.edit(), copiedPages: map[uint64]bool{}}
}

// finish returns the next version of the table.
func (e *tableEditor) finish() *Table {
	e.next.withdrawn = e.withdrawnBits.next
	return e.next
}

// issue adds or replaces a record. It ignores records whose number is out of range.
func (e *tableEditor) issue(r *apiv1.KeyRecord) {
	number := r.GetNumber()
	if number == 0 || number > maxNumber {
		return
	}
	stored := e.writableEntry(number)
	if stored.organisation == 0 {
		e.next.issuedCount++
	}
	*stored = entry{organisation: e.organisationIndex(r.GetOrganisation())}
	copy(stored.hash[:], r.GetHash())
	e.setWithdrawn(number, r.GetWithdrawn())
}

// withdraw marks a key as withdrawn. It ignores numbers that were never issued.
func (e *tableEditor) withdraw(number uint64) {
	if e.next.entry(number).organisation != 0 {
		e.setWithdrawn(number, true)
	}
}

// setWithdrawn sets whether a key is withdrawn and updates the count.
func (e *tableEditor) setWithdrawn(number uint64, withdrawn bool) {
	if e.withdrawnBits.next.get(number) == withdrawn {
		return
	}
	e.withdrawnBits.set(number, withdrawn)
	if withdrawn {
		e.next.withdrawnCount++
	} else {
		e.next.withdrawnCount--
	}
}

// writableEntry returns the entry of a number in the next version for modification. It extends the
// page list or copies the page as needed.
func (e *tableEditor) writableEntry(number uint64) *entry {
	index := number / pageKeys
	if !e.copiedPageList {
		e.next.pages = append([]*page(nil), e.next.pages...)
		e.copiedPageList = true
	}
	for uint64(len(e.next.pages)) <= index {
		e.copiedPages[uint64(len(e.next.pages))] = true
		e.next.pages = append(e.next.pages, &page{})
	}
	if !e.copiedPages[index] {
		copied := *e.next.pages[index]
		e.next.pages[index] = &copied
		e.copiedPages[index] = true
	}
	return &e.next.pages[index][number%pageKeys]
}

// organisationIndex returns the index of an organisation's name, which it adds if it is new.
func (e *tableEditor) organisationIndex(name string) uint32 {
	if index, found := e.next.organisationIndexes[name]; found {
		return index
	}
	if !e.copiedIndexes {
		e.next.organisationIndexes = maps.Clone(e.next.organisationIndexes)
		e.copiedIndexes = true
	}
	index := uint32(len(e.next.organisations))
	e.next.organisations = append(e.next.organisations, name)
	e.next.organisationIndexes[name] = index
	return index
}
