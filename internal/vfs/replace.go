package vfs

import "path/filepath"

// temporarySuffix marks a file that is being written and may be incomplete.
const temporarySuffix = ".new"

// Replace writes a whole file in one step: after a crash it holds the old data or the new.
// The data is durable when Replace returns nil.
func Replace(fs FS, folder, name string, data []byte) error {
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

// writeSynced writes a new file and makes its data durable.
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
