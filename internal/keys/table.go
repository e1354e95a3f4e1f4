package keys

import (
	"crypto/sha256"
	"crypto/subtle"

	apiv1 "github.com/guavaford/guavaford/api/guavaford/v1"
)

// Status is the result of verifying a key.
type Status int

// The results of Verify.
const (
	// Valid is a key that is in force.
	Valid Status = iota
	// Unknown is a well-formed key that was never issued, or whose secret is wrong.
	Unknown
	// Withdrawn is a key that was issued and withdrawn.
	Withdrawn
	// Malformed is text that is not a key.
	Malformed
)

// Record is a verified key.
type Record struct {
	// Number is the sequence number of the key, starting at 1.
	Number       uint64
	Organisation string
}

const (
	// pageKeys is the number of keys in one page; With copies the pages that it changes.
	pageKeys = 256
	// wordBits is the number of withdrawal bits in one word.
	wordBits = 64
)

// entry is a stored key.
type entry struct {
	hash [sha256.Size]byte
	// organisation is an index into Table.organisations; 0 means that the number is not taken.
	organisation uint32
}

// page holds the keys of consecutive numbers.
type page struct {
	entries   [pageKeys]entry
	withdrawn [pageKeys / wordBits]uint64
}

// Table holds all keys by number. It is immutable and safe for concurrent use.
type Table struct {
	pages []*page
	// organisations holds the names that entries refer to; index 0 is empty.
	organisations []string
	indexes       map[string]uint32
	issued        int
	withdrawn     int
}

// NewTable returns a table of the records.
func NewTable(records []*apiv1.KeyRecord) *Table {
	t := &Table{organisations: []string{""}, indexes: map[string]uint32{}}
	return t.With(records, nil)
}

// With returns a table with further keys issued and withdrawn; t stays as it is.
// Records of numbers that are taken replace the old ones.
func (t *Table) With(issued []*apiv1.KeyRecord, withdrawn []uint64) *Table {
	e := newEditor(t)
	for _, r := range issued {
		e.issue(r)
	}
	for _, number := range withdrawn {
		e.withdraw(number)
	}
	return e.next
}

// Len returns the number of keys that were issued, withdrawn ones included, and how
// many of them were withdrawn.
func (t *Table) Len() (issued, withdrawn int) {
	return t.issued, t.withdrawn
}

// Verify checks a key as the caller presented it. The record is set when the status
// is Valid or Withdrawn. The secret is compared in constant time, and Withdrawn is
// told only to whoever holds the secret.
func (t *Table) Verify(key string) (Record, Status) {
	number, hash, ok := parse(key)
	if !ok {
		return Record{}, Malformed
	}
	p, slot := t.page(number)
	if p == nil {
		return Record{}, Unknown
	}
	found := &p.entries[slot]
	equal := subtle.ConstantTimeCompare(found.hash[:], hash[:]) == 1
	if found.organisation == 0 || !equal {
		return Record{}, Unknown
	}
	record := Record{Number: number, Organisation: t.organisations[found.organisation]}
	if p.isWithdrawn(slot) {
		return record, Withdrawn
	}
	return record, Valid
}

// Withdrawn returns true when the key of that number was withdrawn. Number 0, which
// stands for requests without a key, and numbers that the table doesn't know yet are not.
func (t *Table) Withdrawn(number uint64) bool {
	p, slot := t.page(number)
	return p != nil && p.isWithdrawn(slot)
}

// page returns the page and the slot of a number, or nil if the table doesn't reach that far.
func (t *Table) page(number uint64) (*page, int) {
	if number == 0 {
		return nil, 0
	}
	index := (number - 1) / pageKeys
	if index >= uint64(len(t.pages)) {
		return nil, 0
	}
	return t.pages[index], int((number - 1) % pageKeys)
}

func (p *page) isWithdrawn(slot int) bool {
	return p.withdrawn[slot/wordBits]&(1<<(slot%wordBits)) != 0
}

// editor builds the successor of a table and copies each page at most once.
type editor struct {
	next        *Table
	owned       map[uint64]bool
	ownsIndexes bool
}

func newEditor(t *Table) *editor {
	next := *t
	next.pages = append([]*page(nil), t.pages...)
	next.organisations = t.organisations[:len(t.organisations):len(t.organisations)]
	return &editor{next: &next, owned: map[uint64]bool{}}
}

// issue enters a record. Records without a number are not valid and left out.
func (e *editor) issue(r *apiv1.KeyRecord) {
	if r.GetNumber() == 0 || r.GetNumber() > maxNumber {
		return
	}
	p, slot := e.writable(r.GetNumber())
	if p.entries[slot].organisation == 0 {
		e.next.issued++
	}
	if p.isWithdrawn(slot) {
		e.next.withdrawn--
	}
	p.withdrawn[slot/wordBits] &^= 1 << (slot % wordBits)
	p.entries[slot] = entry{organisation: e.organisation(r.GetOrganisation())}
	copy(p.entries[slot].hash[:], r.GetHash())
	if r.GetWithdrawn() {
		e.withdraw(r.GetNumber())
	}
}

// withdraw marks a key. Numbers that were never issued are left out.
func (e *editor) withdraw(number uint64) {
	old, slot := e.next.page(number)
	if old == nil || old.entries[slot].organisation == 0 || old.isWithdrawn(slot) {
		return
	}
	p, slot := e.writable(number)
	p.withdrawn[slot/wordBits] |= 1 << (slot % wordBits)
	e.next.withdrawn++
}

// maxNumber bounds the memory that a damaged record could claim.
const maxNumber = 1 << 32

// writable returns a page of the successor that may be modified.
func (e *editor) writable(number uint64) (*page, int) {
	index := (number - 1) / pageKeys
	for uint64(len(e.next.pages)) <= index {
		e.owned[uint64(len(e.next.pages))] = true
		e.next.pages = append(e.next.pages, &page{})
	}
	if !e.owned[index] {
		copied := *e.next.pages[index]
		e.next.pages[index] = &copied
		e.owned[index] = true
	}
	return e.next.pages[index], int((number - 1) % pageKeys)
}

// organisation returns the index of a name and enters it if it is new.
func (e *editor) organisation(name string) uint32 {
	if index, found := e.next.indexes[name]; found {
		return index
	}
	if !e.ownsIndexes {
		copied := make(map[string]uint32, len(e.next.indexes)+1)
		for known, index := range e.next.indexes {
			copied[known] = index
		}
		e.next.indexes = copied
		e.ownsIndexes = true
	}
	index := uint32(len(e.next.organisations))
	e.next.organisations = append(e.next.organisations, name)
	e.next.indexes[name] = index
	return index
}
