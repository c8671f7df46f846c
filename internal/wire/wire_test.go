package wire

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

func readLines(t *testing.T, name string) [][]byte {
	t.Helper()
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Split(bytes.TrimSpace(raw), []byte("\n"))
}

// TestGolden replays the hand-written batches in testdata and compares each reply with the expected one.
func TestGolden(t *testing.T) {
	in, want := readLines(t, "testdata/batches.jsonl"), readLines(t, "testdata/replies.jsonl")
	h := NewHost()
	for i, line := range in {
		got, err := h.HandleLine(line)
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		if got = bytes.TrimSpace(got); i >= len(want) || !bytes.Equal(got, want[i]) {
			t.Errorf("line %d: got %s", i+1, got)
		}
	}
}

// TestInstancesAreIndependent compares two instances on one host with two instances on a host each.
func TestInstancesAreIndependent(t *testing.T) {
	in := readLines(t, "testdata/batches.jsonl")
	withFront := func(front int, line []byte) []byte {
		return bytes.ReplaceAll(line, []byte(`"frontId":1`), fmt.Appendf(nil, `"frontId":%d`, front))
	}
	shared, separate := NewHost(), []*Host{NewHost(), NewHost()}
	for i, line := range in {
		line4, line5 := withFront(4, line), withFront(5, line)
		prefix, events4, ok := bytes.Cut(line4, []byte(`"happened":[`))
		_, events5, _ := bytes.Cut(line5, []byte(`"happened":[`))
		if !ok {
			t.Fatal("no events in line", i+1)
		}
		separator := ","
		if string(events4) == "]}" {
			separator = ""
		}
		combined := string(prefix) + `"happened":[` + strings.TrimSuffix(string(events4), "]}") + separator + string(events5)
		got, err := shared.HandleLine([]byte(combined))
		if err != nil {
			t.Fatal(err)
		}
		want := ""
		for n, l := range [][]byte{line4, line5} {
			r, err := separate[n].HandleLine(l)
			if err != nil {
				t.Fatal(err)
			}
			_, outbox, _ := strings.Cut(string(r), `"outbox":[`)
			if outbox = strings.TrimSuffix(strings.TrimSpace(outbox), "]}"); want != "" && outbox != "" {
				want += ","
			}
			want += strings.TrimSuffix(outbox, "]}")
		}
		if _, outbox, _ := strings.Cut(string(got), `"outbox":[`); strings.TrimSuffix(strings.TrimSpace(outbox), "]}") !=
			want {
			t.Errorf("line %d: shared host %s, separate hosts %s", i+1, got, want)
		}
	}
}

func TestMalformedLines(t *testing.T) {
	for _, line := range []string{`{`, `[]`, `{"wall":"x"}`, `{"wall":1,"seq":1,"happened":[7]}`,
		`{"wall":1,"seq":1,"happened":[{}]}`, `{"wall":1,"seq":1,"happened":[{"m":"Hello","facts":{}}]}`,
		`{"wall":1,"seq":1,"happened":[{"m":"AttemptEnd","reason":"Q"}]}`} {
		if _, err := NewHost().HandleLine([]byte(line)); err == nil {
			t.Errorf("%s: no error", line)
		}
	}
	if _, err := NewHost().HandleLine([]byte(`{"wall":1,"seq":1,"happened":[{"m":"Novelty","frontId":9,"new":{}}]}`)); err != nil {
		t.Errorf("an unknown event led to an error: %v", err)
	}
}

func TestExceptionReplyNamesFront(t *testing.T) {
	got := string(ExceptionReply([]byte(`{"seq":7,"happened":[{"m":"Left","frontId":3}]}`), "broken"))
	if got != `{"seq":7,"outbox":[{"m":"Exception","frontId":3,"words":"broken"}]}`+"\n" {
		t.Error(got)
	}
}

// FuzzHandleLine checks that no input line causes a panic.
func FuzzHandleLine(f *testing.F) {
	raw, err := os.ReadFile("testdata/batches.jsonl")
	if err != nil {
		f.Fatal(err)
	}
	for line := range bytes.Lines(raw) {
		f.Add(line)
	}
	first, _, _ := bytes.Cut(raw, []byte("\n"))
	f.Fuzz(func(t *testing.T, line []byte) {
		h := NewHost()
		if _, err := h.HandleLine(first); err != nil {
			t.Fatal(err)
		}
		_, _ = h.HandleLine(line) // errors are allowed, panics are not
	})
}
