// Package lastview keeps a program's last view of the fleet on disk, so that it can start while nobody tells it
// one. A crash at any moment leaves a whole view: what is written is synced, checked by a sum, and renamed into
// place beside the one before it.
package viewstore

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The first line of a file: name, format, xxhash of the body in hex, its length, when it was written (Unix ms).
const (
	magic         = "rainpulley-view"
	formatVersion = 1
	maxFileBytes  = 64 << 20 // bytes that are read at most
)

// Store is one program's file and the one before it.
type Store struct{ path string }

// Open names the file; nothing is read or made yet.
func Open(path string) *Store { return &Store{path} }

func (s *Store) previousPath() string { return s.path + ".old" }

// Write makes a body the last view. The one before stays beside it.
func (s *Store) Write(body []byte, now time.Time) error {
	head := fmt.Sprintf("%s %d %016x %d %d\n", magic, formatVersion, xxhash.Sum64(body), len(body), now.UnixMilli())
	tmp := s.path + ".new"
	f, err := os.Create(tmp)
	if err != nil {
		return fmt.Errorf("last view: %w", err)
	}
	_, err = f.WriteString(head)
	if err == nil {
		_, err = f.Write(body)
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		if err = os.Rename(s.path, s.previousPath()); errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
	}
	if err == nil {
		err = os.Rename(tmp, s.path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(s.path))
	}
	if err != nil {
		return fmt.Errorf("last view: %w", err)
	}
	return nil
}

// syncFolder makes renames last over a loss of power.
func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// View is what was read.
type View struct {
	Body      []byte
	WrittenAt time.Time
	Path      string
}

// Read gives the newest view that is whole. What is torn or foreign is passed over for the one before, and named
// in the error beside a view, or alone where none is whole. No file at all is fs.ErrNotExist.
func (s *Store) Read() (*View, error) {
	var faults []error
	missing := 0
	for _, path := range []string{s.path, s.previousPath()} {
		v, err := readFile(path)
		if err == nil {
			return v, errors.Join(faults...)
		}
		if errors.Is(err, fs.ErrNotExist) {
			missing++
			continue
		}
		faults = append(faults, err)
	}
	if missing == 2 {
		return nil, fmt.Errorf("last view: %s: %w", s.path, fs.ErrNotExist)
	}
	return nil, errors.Join(faults...)
}

func readFile(path string) (*View, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	invalid := func(format string, a ...any) error {
		return fmt.Errorf("last view: %s: %s", path, fmt.Sprintf(format, a...))
	}
	if info.Size() > maxFileBytes {
		return nil, invalid("%d bytes, %d at most", info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	header, err := bufio.NewReader(bytes.NewReader(content)).ReadString('\n')
	fields := strings.Fields(header)
	if err != nil || len(fields) != 5 || fields[0] != magic {
		return nil, invalid("not a view of this program")
	}
	if fields[1] != strconv.Itoa(formatVersion) {
		return nil, invalid("format %s, this program reads %d", fields[1], formatVersion)
	}
	sum, err1 := strconv.ParseUint(fields[2], 16, 64)
	length, err2 := strconv.Atoi(fields[3])
	written, err3 := strconv.ParseInt(fields[4], 10, 64)
	body := content[len(header):]
	switch {
	case err1 != nil || err2 != nil || err3 != nil:
		return nil, invalid("broken first line")
	case len(body) != length:
		return nil, invalid("torn: %d bytes of %d", len(body), length)
	case xxhash.Sum64(body) != sum:
		return nil, invalid("sum does not fit")
	}
	return &View{body, time.UnixMilli(written), path}, nil
}
