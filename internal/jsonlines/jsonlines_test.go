package jsonlines

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestParse(t *testing.T) {
	m, err := Parse([]byte(`{"msg":"close","sid":"9b","attrs":{"load":"rif:12;x0:0.5; x1:-1;bad:x;big:1e999","value":2,"n":null},"code":34,"new":[1]}` + "\n"))
	if err != nil || m.Type != TypeClose || m.Cause() != CauseFull || m.Attr("value") != "2" || m.Attr("n") != "" || m.Text != nil {
		t.Fatalf("%+v, %v", m, err)
	}
	f := m.NumberMap("load")
	if len(f) != 3 || f["rif"] != 12 || f["x0"] != 0.5 || f["x1"] != -1 {
		t.Errorf("%v", f)
	}
	for _, code := range []string{"34.5", "1e300", "-1", `null`} {
		if m, err := Parse([]byte(`{"msg":"close","code":` + code + `}`)); err != nil || m.Cause() != -1 {
			t.Errorf("%s: %v, %v", code, m, err)
		}
	}
}

// TestSpoilt: after such a line nothing on the connection can be trusted.
func TestSpoilt(t *testing.T) {
	for _, line := range []string{"noise\n", "{}\n", "\n", `{"msg":"ready"` + "\n", `{"msg":"ready","sid":4}` + "\n", `{"msg":"ready","text":"a` + "\xff" + `"}` + "\n",
		`{"msg":"ready","text":"\ud800"}` + "\n", `{"msg":"ready"}{}` + "\n", `[1]` + "\n", `{"msg":"ready","attrs":3}` + "\n",
		`{"msg":"ready","text":"` + strings.Repeat("a", MaxLineBytes) + "\"}\n", strings.Repeat("x", 2*MaxLineBytes)} {
		if _, err := Read(bufio.NewReaderSize(strings.NewReader(line), MaxLineBytes)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: %v", line, err)
		}
	}
	if _, err := Read(bufio.NewReaderSize(strings.NewReader(`{"msg":"rea`), MaxLineBytes)); err == nil {
		t.Error("half a line read")
	}
}

// FuzzParse: nothing panics, and a description that was read is written and read as the same bytes.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"msg":"open","sid":"1","attrs":{"class":"paid","left":"1500"},"text":"a\r\nb\u0001\u2028"}`))
	f.Add([]byte(`{"msg":"event","attrs":{"note":"link","value":1e400}}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, err := Parse(line)
		if err != nil {
			return
		}
		text := ""
		if m.Text != nil {
			text = *m.Text
		}
		m.NumberMap("load")
		m.Cause()
		b := Append(nil, m.Type, m.ID, []string{"a", m.Attr("a")}, 3, text)
		if !json.Valid(b) || !utf8.Valid(b) || strings.Count(string(b), "\n") != 1 {
			t.Fatalf("%q", b)
		}
		if len(b) > MaxLineBytes {
			return
		}
		again, err := Parse(b)
		if err != nil || text != "" && *again.Text != text || again.Type != m.Type || again.ID != m.ID {
			t.Fatalf("%q: %+v, %v", b, again, err)
		}
	})
}

// TestSplitAtEveryBoundary: a line that arrives in two pieces is read as it was written, wherever it is split.
func TestSplitAtEveryBoundary(t *testing.T) {
	const text = `{"msg":"ready","sid":"9b","attrs":{"load":"x0:1"},"text":"a\r\n\"ü\""}` + "\n" + `{"msg":"close","sid":"9c","attrs":{},"code":34}` + "\n"
	for at := 1; at < len(text); at++ {
		r := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])), MaxLineBytes)
		first, err := Read(r)
		if err != nil || first.Type != TypeReady || first.ID != "9b" || first.Text == nil || *first.Text != "a\r\n\"ü\"" {
			t.Errorf("split at byte %d: %+v, %v", at, first, err)
		}
		if second, err := Read(r); err != nil || second.Type != TypeClose || second.ID != "9c" || second.Cause() != CauseFull {
			t.Errorf("split at byte %d: %+v, %v", at, second, err)
		}
	}
}
