package planner

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"rainpulley/internal/viewstore"
)

// Files of the state folder.
const (
	overridesFile     = "told.json"
	announcementsFile = "peaks.json"
	snapshotFile      = "sources.view"
	lockFile          = "lock"
)

const (
	lockWait  = 10 * time.Second // for a planner that is stopping to give its state folder up
	lockRetry = 20 * time.Millisecond
)

// storeError reports that a change was not written to the state folder. The change has no effect.
type storeError struct{ cause error }

func (e *storeError) Error() string { return "planner: storing the change failed: " + e.cause.Error() }
func (e *storeError) Unwrap() error { return e.cause }

// lockState takes the state folder for this process. A planner that is still stopping may accept a change after this one
// has read the files; each would then overwrite what the other accepted.
func (p *Planner) lockState() error {
	if p.State == "" {
		return nil
	}
	file, err := os.OpenFile(filepath.Join(p.State, lockFile), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return fmt.Errorf("planner: locking the state folder: %w", err)
	}
	for deadline := time.Now().Add(lockWait); ; time.Sleep(lockRetry) {
		err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		_ = file.Close()
		return fmt.Errorf("planner: the state folder %s is in use: %w", p.State, err)
	}
	p.stateLock = file
	return nil
}

// unlockState gives the state folder up.
func (p *Planner) unlockState() {
	if p.stateLock != nil {
		_ = p.stateLock.Close()
	}
}

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
