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

// TestParse checks the attributes, the numbers and the cause code of a message, including malformed values.
func TestParse(t *testing.T) {
	m, err := Parse([]byte(`{"msg":"close","sid":"9b","attrs":{"load":"rif:12;x0:0.5; x1:-1;bad:x;big:1e999","value":2,"n":null},"code":34,"new":[1]}` + "\n"))
	if err != nil || m.Type != TypeClose || m.Cause() != CauseFull || m.Attr("value") != "2" || m.Attr("n") != "" ||
		m.Text != nil {
		t.Fatalf("close message: got %+v, %v", m, err)
	}
	load := m.NumberMap("load")
	if len(load) != 3 || load["rif"] != 12 || load["x0"] != 0.5 || load["x1"] != -1 {
		t.Errorf("load: got %v", load)
	}
	for _, code := range []string{"34.5", "1e300", "-1", `null`} {
		if m, err := Parse([]byte(`{"msg":"close","code":` + code + `}`)); err != nil || m.Cause() != -1 {
			t.Errorf("code %s: got %v, %v; want no cause", code, m, err)
		}
	}
}

// TestMalformedLines checks that Read returns ErrMalformed for a line that is not a valid message, since nothing that
// follows on the connection can then be trusted.
func TestMalformedLines(t *testing.T) {
	for _, line := range []string{"noise\n", "{}\n", "\n", `{"msg":"ready"` + "\n", `{"msg":"ready","sid":4}` + "\n",
		`{"msg":"ready","text":"a` + "\xff" + `"}` + "\n",
		`{"msg":"ready","text":"\ud800"}` + "\n", `{"msg":"ready"}{}` + "\n", `[1]` + "\n",
		`{"msg":"ready","attrs":3}` + "\n",
		`{"msg":"ready","text":"` + strings.Repeat("a", MaxLineBytes) + "\"}\n", strings.Repeat("x", 2*MaxLineBytes)} {
		if _, err := Read(bufio.NewReaderSize(strings.NewReader(line), MaxLineBytes)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%.40q: got error %v, want ErrMalformed", line, err)
		}
	}
	if _, err := Read(bufio.NewReaderSize(strings.NewReader(`{"msg":"rea`), MaxLineBytes)); err == nil {
		t.Error("an incomplete line was read as a message")
	}
}

// FuzzParse checks that no line causes a panic and that a session description that was read keeps its bytes when it is
// written and read again.
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
			t.Fatalf("written line is not one valid JSON object: %q", b)
		}
		if len(b) > MaxLineBytes {
			return
		}
		again, err := Parse(b)
		if err != nil || text != "" && *again.Text != text || again.Type != m.Type || again.ID != m.ID {
			t.Fatalf("%q: read again as %+v, %v", b, again, err)
		}
	})
}

// TestSplitAtEveryBoundary checks that a line that arrives in two pieces is read correctly, wherever it is split.
func TestSplitAtEveryBoundary(t *testing.T) {
	const text = `{"msg":"ready","sid":"9b","attrs":{"load":"x0:1"},"text":"a\r\n\"ü\""}` + "\n" +
		`{"msg":"close","sid":"9c","attrs":{},"code":34}` + "\n"
	for at := 1; at < len(text); at++ {
		r := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])),
			MaxLineBytes)
		first, err := Read(r)
		if err != nil || first.Type != TypeReady || first.ID != "9b" || first.Text == nil || *first.Text != "a\r\n\"ü\"" {
			t.Errorf("split at byte %d: first message %+v, %v", at, first, err)
		}
		if second, err := Read(r); err != nil || second.Type != TypeClose || second.ID != "9c" ||
			second.Cause() != CauseFull {
			t.Errorf("split at byte %d: second message %+v, %v", at, second, err)
		}
	}
}
