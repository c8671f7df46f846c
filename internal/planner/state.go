package planner

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Files of the state folder.
const (
	overridesFile     = "told.json"
	announcementsFile = "peaks.json"
	snapshotFile      = "sources.view"
)

// storeError reports that a change was not written to the state folder. The change has no effect.
type storeError struct{ cause error }

func (e *storeError) Error() string { return "planner: storing the change failed: " + e.cause.Error() }
func (e *storeError) Unwrap() error { return e.cause }

// writeStateFile writes a value as JSON to a new file, syncs it and renames it to path, so that a crash leaves
// either the old or the new file.
func writeStateFile(path string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// storeState writes a value as JSON to a file of the state folder; without a folder it does nothing.
func (p *Planner) storeState(name string, value any) error {
	if p.State == "" {
		return nil
	}
	err := writeStateFile(filepath.Join(p.State, name), value)
	if err != nil {
		p.Log.Error("storing a change failed; it has no effect", "file", name, "error", err)
		return &storeError{err}
	}
	return nil
}

// loadState reads a file that storeState wrote. It returns false if the file is missing or unusable, and logs the
// latter.
func (p *Planner) loadState(name string, into any) bool {
	if p.State == "" {
		return false
	}
	content, err := os.ReadFile(filepath.Join(p.State, name))
	if errors.Is(err, fs.ErrNotExist) {
		return false
	}
	if err == nil {
		err = json.Unmarshal(content, into)
	}
	if err != nil {
		p.Log.Error("state file is unusable; ignoring it", "file", name, "error", err)
	}
	return err == nil
}
