package xdsfile

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// ReplaceFile replaces a file without syncing it to disk. If the process is killed, either the old file or the new one
// remains. The temporary file is in the same directory, since a rename from another file system might be a copy, and a
// reader could see only a part of it.
func ReplaceFile(path string, text []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), "."+filepath.Base(path)+"*")
	if err != nil {
		return err
	}
	err = writeAndClose(temporary, text)
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name())
	}
	return err
}

func writeAndClose(file *os.File, text []byte) error {
	_, err := file.Write(text)
	if err == nil {
		err = file.Chmod(0o644)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// replaceFileSynced syncs the new content to disk before it replaces a file. After a power failure, either the old file or
// the new one remains.
func replaceFileSynced(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o644, renameio.WithTempDir(filepath.Dir(path)))
}

// RemoveTemporaryFiles removes the temporary files of writers that were killed before they renamed them. It returns the
// number of removed files.
func RemoveTemporaryFiles(dir string) (removed int, err error) {
	for _, name := range []string{EndpointFile, RouteFile} {
		paths, err := filepath.Glob(filepath.Join(dir, "*", "."+name+"*"))
		if err != nil {
			return removed, err
		}
		for _, path := range paths {
			if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
				return removed, err
			}
			removed++
		}
	}
	return removed, nil
}
