package planner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"rainpulley/internal/viewstore"
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

// storeState writes a value as JSON to a file of the state folder; without a folder it does nothing. The file that was
// there is kept as the previous one.
func (p *Planner) storeState(name string, value any) error {
	if p.State == "" {
		return nil
	}
	content, err := json.Marshal(value)
	if err == nil {
		err = viewstore.Replace(filepath.Join(p.State, name), content)
	}
	if err != nil {
		p.Log.Error("storing a change failed; it has no effect", "file", name, "error", err)
		return &storeError{err}
	}
	return nil
}

// loadState reads a file that storeState wrote. It returns false if there is none. A file that cannot be decoded is
// set aside, and the previous one is used. If a file cannot be read at all, p must not run: it would forget what the
// file holds.
func (p *Planner) loadState(name string, into any) bool {
	if p.State == "" {
		return false
	}
	path := filepath.Join(p.State, name)
	for _, candidate := range []string{path, viewstore.PreviousPath(path)} {
		content, err := os.ReadFile(candidate)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			p.stateError = errors.Join(p.stateError, fmt.Errorf("planner: reading the state: %w", err))
			return false
		}
		if err = json.Unmarshal(content, into); err == nil {
			return true
		}
		p.Log.Error("state file is damaged; setting it aside", "file", candidate, "error", err)
		if err := os.Rename(candidate, candidate+".damaged"); err != nil {
			p.stateError = errors.Join(p.stateError, fmt.Errorf("planner: setting a damaged file aside: %w", err))
			return false
		}
	}
	return false
}
