package wal

import (
	"bytes"
	"encoding/binary"
	"io/fs"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/guavaford/guavaford/internal/vfs"
)

// RecordFile is an append-only file of records that don't depend on each other, beside the log of a replica. Its methods must not be
// called concurrently.
//
// Each record is a frame of its own. After a power loss any part of the frames that were written since the last sync may be missing. These were never
// acknowledged, and unlike the log, the file keeps the readable records around an unreadable one. Each frame states up to where the file had been
// synced when it was written, so that damage to acknowledged records is told apart from an interrupted write.
type RecordFile struct {
	fs   vfs.FS
	dir  string
	name string

	file vfs.File
	size int64
	// unusable is set while the file can't be appended to: it does not exist yet, has an unreadable part, or a write or sync failed. Rewrite
	// resets it.
	unusable bool
}

// syncedBytes is the size of the field in front of each record that states up to where the file had been synced.
const syncedBytes = 8

// ErrUnusable is returned by Append until Rewrite has succeeded.
var ErrUnusable = errors.New("record file must be rewritten first")

// OpenRecordFile opens the file and returns its records in the order in which they were appended. intact is false if the file does not exist, or if
// a record that had been synced can't be read.
func OpenRecordFile(fsys vfs.FS, dir, name string) (file *RecordFile, records [][]byte, intact bool, err error) {
	f := &RecordFile{fs: fsys, dir: dir, name: name, unusable: true}
	data, err := fsys.ReadFile(filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil, false, nil
	}
	if err != nil {
		return nil, nil, false, errors.Wrap(err, name)
	}
	records, complete, intact := decodeRecords(data)
	if complete {
		if f.file, err = fsys.OpenAppend(filepath.Join(dir, name)); err != nil {
			return nil, nil, false, errors.Wrap(err, name)
		}
		f.size, f.unusable = int64(len(data)), false
	}
	return f, records, intact, nil
}

// decodeRecords returns the readable records. complete is true if all of data is readable, intact if all that had been synced is.
func decodeRecords(data []byte) (records [][]byte, complete, intact bool) {
	marker := binary.LittleEndian.AppendUint32(nil, startMarker)
	firstUnreadable, synced := len(data), 0
	for offset := 0; offset < len(data); {
		payload, length, state := readFrame(data[offset:])
		if state == frameValid && len(payload) >= syncedBytes {
			synced = max(synced, int(binary.LittleEndian.Uint64(payload)))
			records = append(records, payload[syncedBytes:])
			offset += length
			continue
		}
		firstUnreadable = min(firstUnreadable, offset)
		next := bytes.Index(data[offset+1:], marker)
		if next < 0 {
			break
		}
		offset += 1 + next
	}
	return records, firstUnreadable == len(data), firstUnreadable >= synced
}

// appendRecord appends the frame of a record to data. synced is the size up to which the file has been synced.
func appendRecord(data []byte, synced int64, record []byte) []byte {
	payload := binary.LittleEndian.AppendUint64(make([]byte, 0, syncedBytes+len(record)), uint64(synced))
	return appendFrame(data, append(payload, record...))
}

// Append writes records and returns once they are durable. After an error the records may be found again by the next OpenRecordFile. If the disk
// is full, what was written in part is cut off and the file stays usable.
func (f *RecordFile) Append(records [][]byte) error {
	if f.unusable {
		return ErrUnusable
	}
	var data []byte
	for _, record := range records {
		data = appendRecord(data, f.size, record)
	}
	if _, err := f.file.Write(data); err != nil {
		f.unusable = !isFull(err) || f.file.Truncate(f.size) != nil
		return errors.Wrap(err, f.name)
	}
	if err := f.file.Sync(); err != nil {
		f.unusable = true
		return errors.Wrap(err, f.name)
	}
	f.size += int64(len(data))
	return nil
}

// Rewrite replaces the content of the file atomically and durably. If the disk has no room for the new content, the present file stays in use.
func (f *RecordFile) Rewrite(records [][]byte) error {
	var data []byte
	for _, record := range records {
		// The last frame vouches for all others, which are synced before the file gets its name.
		data = appendRecord(data, int64(len(data)), record)
	}
	path := filepath.Join(f.dir, f.name)
	file, err := f.writeTemporary(path+tempSuffix, data)
	if err != nil {
		_ = f.fs.Remove(path + tempSuffix)
		return errors.Wrap(err, f.name)
	}
	f.Close()
	f.file, f.size, f.unusable = file, int64(len(data)), true
	if err := f.fs.Rename(path+tempSuffix, path); err != nil {
		return errors.Wrap(err, f.name)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		return errors.Wrap(err, f.name)
	}
	f.unusable = false
	return nil
}

// writeTemporary creates a file with the data, syncs it and returns it open.
func (f *RecordFile) writeTemporary(path string, data []byte) (vfs.File, error) {
	file, err := f.fs.Create(path)
	if err != nil {
		return nil, err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Size returns the size of the file in bytes.
func (f *RecordFile) Size() int64 { return f.size }

// Usable reports whether records can be appended.
func (f *RecordFile) Usable() bool { return !f.unusable }

// Close closes the file.
func (f *RecordFile) Close() {
	if f.file != nil {
		_ = f.file.Close()
		f.file = nil
	}
}
