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

func TestReadsTheNewestWhole(t *testing.T) {
	s := Open(filepath.Join(t.TempDir(), "view"))
	if _, err := s.Read(); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	at := time.UnixMilli(1_700_000_000_123)
	for _, body := range []string{"first", "second"} {
		if err := s.Write([]byte(body), at); err != nil {
			t.Fatal(err)
		}
	}
	v, err := s.Read()
	if err != nil || string(v.Body) != "second" || !v.WrittenAt.Equal(at) {
		t.Fatalf("%+v, %v", v, err)
	}
	whole, _ := os.ReadFile(s.path)
	for want, torn := range map[string]string{"torn": string(whole[:len(whole)-1]), "not a view": "{}\n", "sum": strings.Replace(string(whole), "second", "sEcond", 1),
		"format 2": strings.Replace(string(whole), magic+" 1", magic+" 2", 1), "broken first line": strings.Replace(string(whole), " 6 ", " x ", 1)} {
		if err := os.WriteFile(s.path, []byte(torn), 0o644); err != nil {
			t.Fatal(err)
		}
		v, err := s.Read()
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), s.path) || v == nil || string(v.Body) != "first" {
			t.Errorf("%s: %+v, %v", want, v, err)
		}
	}
	_ = os.Remove(s.previousPath())
	if v, err := s.Read(); v != nil || err == nil || errors.Is(err, fs.ErrNotExist) {
		t.Errorf("nothing whole: %+v, %v", v, err)
	}
}

// A crash that leaves any part of the new file, or stops between the renames, leaves a whole view.
func TestAnyCut(t *testing.T) {
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
		whole, _ := os.ReadFile(s.path)
		cut := rapid.IntRange(0, len(whole)).Draw(t, "cut")
		if rapid.Bool().Draw(t, "between renames") {
			_ = os.Remove(s.path)
			cut = 0
		} else if err := os.WriteFile(s.path, whole[:cut], 0o644); err != nil {
			t.Fatal(err)
		}
		v, _ := s.Read()
		want := old
		if cut == len(whole) {
			want = next
		}
		if v == nil || string(v.Body) != string(want) {
			t.Fatalf("cut at %d of %d: %+v", cut, len(whole), v)
		}
	})
}
