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
	// pageKeys is the number of keys in one page; With copies the pages in which it issues keys.
	pageKeys = 1024
	// hashBytes is the part of the SHA-256 that the table keeps. Finding a secret for it takes
	// about 2^128 tries; collisions don't matter, since the number selects the hash.
	hashBytes = 16
	// maxNumber bounds the memory that a damaged record could claim.
	maxNumber = 1 << 32
)

// entry is a stored key.
type entry struct {
	hash [hashBytes]byte
	// organisation is an index into Table.organisations; 0 means that the number is not taken.
	organisation uint32
}

// page holds the keys of consecutive numbers.
type page [pageKeys]entry

// Table holds all keys by number. It is immutable and safe for concurrent use.
type Table struct {
	pages []*page
	// withdrawn has a bit for each key number.
	withdrawn bitVector
	// organisations holds the names that entries refer to; index 0 is empty.
	organisations  []string
	indexes        map[string]uint32
	issuedCount    int
	withdrawnCount int
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
	return e.finish()
}

// Len returns the number of keys that were issued, withdrawn ones included, and how
// many of them were withdrawn.
func (t *Table) Len() (issued, withdrawn int) {
	return t.issuedCount, t.withdrawnCount
}

// Verify checks a key as the caller presented it. The record is set when the status
// is Valid or Withdrawn. The secret is compared in constant time, and Withdrawn is
// told only to whoever holds the secret.
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

// Withdrawn returns true when the key of that number was withdrawn. Number 0, which
// stands for requests without a key, and numbers that the table doesn't know yet are not.
func (t *Table) Withdrawn(number uint64) bool {
	return t.withdrawn.get(number)
}

// entry returns the entry of a number; it is empty if the number is not taken.
func (t *Table) entry(number uint64) entry {
	index := number / pageKeys
	if index >= uint64(len(t.pages)) {
		return entry{}
	}
	return t.pages[index][number%pageKeys]
}

// editor builds the successor of a table and copies each page at most once.
type editor struct {
	next        *Table
	bits        *bitEditor
	owned       map[uint64]bool
	ownsPages   bool
	ownsIndexes bool
}

func newEditor(t *Table) *editor {
	next := *t
	next.organisations = t.organisations[:len(t.organisations):len(t.organisations)]
	return &editor{next: &next, bits: t.withdrawn.edit(), owned: map[uint64]bool{}}
}

// finish returns the successor.
func (e *editor) finish() *Table {
	e.next.withdrawn = e.bits.next
	return e.next
}

// issue enters a record. Records with a number that can't be are left out.
func (e *editor) issue(r *apiv1.KeyRecord) {
	number := r.GetNumber()
	if number == 0 || number > maxNumber {
		return
	}
	slot := e.writable(number)
	if slot.organisation == 0 {
		e.next.issuedCount++
	}
	*slot = entry{organisation: e.organisation(r.GetOrganisation())}
	copy(slot.hash[:], r.GetHash())
	e.mark(number, r.GetWithdrawn())
}

// withdraw marks a key. Numbers that were never issued are left out.
func (e *editor) withdraw(number uint64) {
	if e.next.entry(number).organisation != 0 {
		e.mark(number, true)
	}
}

// mark sets whether a key is withdrawn.
func (e *editor) mark(number uint64, withdrawn bool) {
	if e.bits.next.get(number) == withdrawn {
		return
	}
	e.bits.set(number, withdrawn)
	if withdrawn {
		e.next.withdrawnCount++
	} else {
		e.next.withdrawnCount--
	}
}

// writable returns the entry of a number in a page of the successor that may be modified.
func (e *editor) writable(number uint64) *entry {
	index := number / pageKeys
	if !e.ownsPages {
		e.next.pages = append([]*page(nil), e.next.pages...)
		e.ownsPages = true
	}
	for uint64(len(e.next.pages)) <= index {
		e.owned[uint64(len(e.next.pages))] = true
		e.next.pages = append(e.next.pages, &page{})
	}
	if !e.owned[index] {
		copied := *e.next.pages[index]
		e.next.pages[index] = &copied
		e.owned[index] = true
	}
	return &e.next.pages[index][number%pageKeys]
}

// organisation returns the index of a name and enters it if it is new.
func (e *editor) organisation(name string) uint32 {
	if index, found := e.next.indexes[name]; found {
		return index
	}
	if !e.ownsIndexes {
		e.next.indexes = maps.Clone(e.next.indexes)
		e.ownsIndexes = true
	}
	index := uint32(len(e.next.organisations))
	e.next.organisations = append(e.next.organisations, name)
	e.next.indexes[name] = index
	return index
}
