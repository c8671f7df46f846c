// Package viewstore keeps a program's last view of the fleet on disk, so that the program can start while no source of
// a view is reachable. A crash at any moment leaves a complete view: each file is written with a checksum, synced and
// renamed into place, and the previous file is kept next to it.
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

// The first line of a file holds the magic word, the format version, the xxhash of the body in hex, the length of the
// body in bytes, and the time of writing (Unix milliseconds).
const (
	magic         = "rainpulley-view"
	formatVersion = 1
	maxFileBytes  = 64 << 20 // a larger file is not read
)

// Store is a program's view file together with the previous version of the file.
type Store struct{ path string }

// Open returns the store at path. It neither reads nor creates a file.
func Open(path string) *Store { return &Store{path} }

func (s *Store) previousPath() string { return PreviousPath(s.path) }

// Write stores body as the last view, written at now, and keeps the view before it as the previous one.
func (s *Store) Write(body []byte, now time.Time) error {
	header := fmt.Sprintf("%s %d %016x %d %d\n", magic, formatVersion, xxhash.Sum64(body), len(body), now.UnixMilli())
	if err := Replace(s.path, append([]byte(header), body...)); err != nil {
		return fmt.Errorf("view store: %w", err)
	}
	return nil
}

// PreviousPath returns the path at which Replace keeps the file that path had before.
func PreviousPath(path string) string { return path + ".old" }

// Replace writes content to a new file, syncs it and renames it to path. A crash at any moment leaves the old or the new
// content at path, or the old one at PreviousPath.
func Replace(path string, content []byte) error {
	tmp := path + ".new"
	f, err := os.Create(tmp)
	if err != nil {
		return fmt.Errorf("creating the new file: %w", err)
	}
	_, err = f.Write(content)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		if err = os.Rename(path, PreviousPath(path)); errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
	}
	if err == nil {
		err = os.Rename(tmp, path)
	}
	if err == nil {
		err = syncDir(filepath.Dir(path))
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// syncDir syncs a directory, so that renames in it are not lost on a power failure.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// View is a view that was read from disk.
type View struct {
	Body      []byte
	WrittenAt time.Time
	Path      string
}

// Read returns the newest intact view. A damaged file, or one of another format, is skipped in favour of the previous
// one; the error then names the skipped file and is returned together with the view, or alone if neither file is
// intact. If no file exists, the error is fs.ErrNotExist.
func (s *Store) Read() (*View, error) {
	var errs []error
	missing := 0
	for _, path := range []string{s.path, s.previousPath()} {
		v, err := readFile(path)
		if err == nil {
			return v, errors.Join(errs...)
		}
		if errors.Is(err, fs.ErrNotExist) {
			missing++
			continue
		}
		errs = append(errs, err)
	}
	if missing == 2 {
		return nil, fmt.Errorf("view store: %s: %w", s.path, fs.ErrNotExist)
	}
	return nil, errors.Join(errs...)
}

// readFile reads one file and verifies its format, length and checksum.
func readFile(path string) (*View, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	invalid := func(format string, a ...any) error {
		return fmt.Errorf("view store: %s: %s", path, fmt.Sprintf(format, a...))
	}
	if info.Size() > maxFileBytes {
		return nil, invalid("file has %d bytes, limit is %d", info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	header, err := bufio.NewReader(bytes.NewReader(content)).ReadString('\n')
	fields := strings.Fields(header)
	if err != nil || len(fields) != 5 || fields[0] != magic {
		return nil, invalid("not a view file of this program")
	}
	if fields[1] != strconv.Itoa(formatVersion) {
		return nil, invalid("format %s is not supported, want %d", fields[1], formatVersion)
	}
	sum, err1 := strconv.ParseUint(fields[2], 16, 64)
	length, err2 := strconv.Atoi(fields[3])
	writtenMs, err3 := strconv.ParseInt(fields[4], 10, 64)
	body := content[len(header):]
	switch {
	case err1 != nil || err2 != nil || err3 != nil:
		return nil, invalid("malformed first line")
	case len(body) != length:
		return nil, invalid("truncated: body has %d bytes, want %d", len(body), length)
	case xxhash.Sum64(body) != sum:
		return nil, invalid("checksum mismatch")
	}
	return &View{body, time.UnixMilli(writtenMs), path}, nil
}
