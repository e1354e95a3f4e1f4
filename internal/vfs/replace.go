package vfs

import "path/filepath"

// temporarySuffix ends the name of a file that may be incomplete because it is still being written.
const temporarySuffix = ".new"

// WriteFileAtomic replaces the content of a file atomically: after a crash the file has either the old content or
// the new. The new content is durable when WriteFileAtomic returns nil.
func WriteFileAtomic(fs FS, folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + temporarySuffix
	if err := writeSynced(fs, temporary, data); err != nil {
		return err
	}
	if err := fs.Rename(temporary, path); err != nil {
		return err
	}
	return fs.SyncDir(folder)
}

// writeSynced creates a file with the data and syncs it.
func writeSynced(fs FS, path string, data []byte) error {
	file, err := fs.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
