package viewstore

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestReadReturnsNewestIntactView checks that a damaged newest file is named in the error while the previous view is
// returned, and that there is only an error if no file is intact.
func TestReadReturnsNewestIntactView(t *testing.T) {
	s := Open(filepath.Join(t.TempDir(), "view"))
	if _, err := s.Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: got error %v, want fs.ErrNotExist", err)
	}
	at := time.UnixMilli(1_700_000_000_123)
	for _, body := range []string{"first", "second"} {
		if err := s.Write([]byte(body), at); err != nil {
			t.Fatal(err)
		}
	}
	v, err := s.Read()
	if err != nil || string(v.Body) != "second" || !v.WrittenAt.Equal(at) {
		t.Fatalf("after two writes: got %+v, %v", v, err)
	}
	content, _ := os.ReadFile(s.path)
	for want, damaged := range map[string]string{
		"truncated": string(content[:len(content)-1]), "not a view file": "{}\n",
		"checksum mismatch":    strings.Replace(string(content), "second", "sEcond", 1),
		"format 2":             strings.Replace(string(content), magic+" 1", magic+" 2", 1),
		"malformed first line": strings.Replace(string(content), " 6 ", " x ", 1)} {
		if err := os.WriteFile(s.path, []byte(damaged), 0o644); err != nil {
			t.Fatal(err)
		}
		v, err := s.Read()
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), s.path) || v == nil ||
			string(v.Body) != "first" {
			t.Errorf("file damaged, want error %q: got %+v, %v", want, v, err)
		}
	}
	_ = os.Remove(s.previousPath())
	if v, err := s.Read(); v != nil || err == nil || errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no intact file: got %+v, %v", v, err)
	}
}

// TestCrashLeavesCompleteView checks that a complete view can be read after a crash that left only a part of the new
// file or that happened between the two renames.
func TestCrashLeavesCompleteView(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		s := Open(filepath.Join(dir, "v"))
		old, next := rapid.SliceOf(rapid.Byte()).Draw(t, "old"), rapid.SliceOf(rapid.Byte()).Draw(t, "next")
		_ = os.Remove(s.previousPath())
		if err := s.Write(old, time.UnixMilli(1)); err != nil {
			t.Fatal(err)
		}
		if err := s.Write(next, time.UnixMilli(2)); err != nil {
			t.Fatal(err)
		}
		content, _ := os.ReadFile(s.path)
		cut := rapid.IntRange(0, len(content)).Draw(t, "cut")
		if rapid.Bool().Draw(t, "between renames") {
			_ = os.Remove(s.path)
			cut = 0
		} else if err := os.WriteFile(s.path, content[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		v, _ := s.Read()
		want := old
		if cut == len(content) {
			want = next
		}
		if v == nil || string(v.Body) != string(want) {
			t.Fatalf("file cut at byte %d of %d: got %+v", cut, len(content), v)
		}
	})
}
