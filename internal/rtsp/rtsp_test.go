package rtsp

import (
	"bufio"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func reader(s string) *Reader { return NewReader(bufio.NewReaderSize(strings.NewReader(s), 4<<10)) }

func TestRead(t *testing.T) {
	text := "\r\nSETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nsession:  a \r\nContent-Length: 3\r\n\r\na\nb" +
		"RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
	r := reader(text)
	m, err := r.Next()
	if err != nil || m.Method != "SETUP" || m.URI != "rtsp://media/7f" || m.Get("Session") != "a" || string(m.Body) != "a\nb" {
		t.Fatalf("%+v, %v", m, err)
	}
	if m, err = r.Next(); err != nil || m.Status != 200 || m.Method != "" {
		t.Fatalf("%+v, %v", m, err)
	}
	if _, err = r.Next(); err != io.EOF {
		t.Fatal(err)
	}
}

// TestBad: what cannot be read is refused with a status, or is an end that came too early (0).
func TestBad(t *testing.T) {
	const start, end = "SETUP rtsp://media/1 RTSP/1.0\r\n", "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		text   string
		status int
	}{
		{"noise\r\n\r\n", 400}, {"\x00\xff\x01\r\n\r\n", 400}, {start + "X: 1\n" + end, 400}, {start + " folded\r\n" + end, 400},
		{start + "X : 1\r\n" + end, 400}, {start + ": 1\r\n" + end, 400}, {start + "\r\n", 400}, {"SETUP a b RTSP/1.0\r\n" + end, 400},
		{"SETUP rtsp://media/1 RTSP/2.0\r\n" + end, 400}, {"RTSP/1.0 20 OK\r\n" + end, 400}, {"RTSP/1.0 -20 OK\r\n" + end, 400},
		{start + "Content-Length: -1\r\n\r\n", 400}, {start + "Content-Length: +1\r\n\r\na", 400}, {start + "Content-Length: 1e3\r\n\r\n", 400},
		{start + "Content-Length: 99999999999999999999\r\n\r\n", 400}, {start + "Content-Length: \r\n\r\n", 400},
		{start + "Content-Length: 0\r\n" + end, 400}, {start + "Content-Length: 60000000\r\n\r\n", 413},
		{start + "X: " + strings.Repeat("a", 5000) + "\r\n" + end, 413}, {start + strings.Repeat("X: 1\r\n", 40) + end, 400},
		{start + strings.Repeat("X: "+strings.Repeat("a", 2000)+"\r\n", 9) + end, 413}, {start + "X: \x00\r\n" + end, 400},
		{start + "Content-Length: 5\r\n\r\nabc", 0}, {start + "X: ", 0},
	} {
		_, err := reader(c.text).Next()
		var wrong *Error
		switch {
		case c.status == 0 && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("%.60q: %v", c.text, err)
		case c.status != 0 && (!errors.As(err, &wrong) || wrong.Status != c.status):
			t.Errorf("%.60q: %v, want %d", c.text, err, c.status)
		}
	}
}

// FuzzNext: nothing panics, nothing is larger than the limit, and what was read reads the same once written.
func FuzzNext(f *testing.F) {
	f.Add("SETUP rtsp://media/1 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 1\r\n\r\nx")
	f.Add("RTSP/1.0 453 No\r\nSession: 1\r\nContent-Length: 0\r\n\r\n")
	f.Add("SETUP rtsp://media/1 RTSP/1.0\r\nContent-Length: 18446744073709551615\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		m, err := reader(text).Next()
		if err != nil {
			return
		}
		if len(m.Body) > MaxMessage {
			t.Fatal("too large")
		}
		var headers []string
		for _, h := range m.Headers {
			if !strings.EqualFold(h.Name, "Content-Length") && h.Value != "" {
				headers = append(headers, h.Name, h.Value)
			}
		}
		var b []byte
		if m.Method != "" {
			b = AppendRequest(nil, m.Method, m.URI, headers, m.Body)
		} else {
			b = AppendResponse(nil, m.Status, headers, m.Body)
		}
		again, err := reader(string(b)).Next()
		if err != nil {
			var wrong *Error
			if errors.As(err, &wrong) && wrong.Status == 413 {
				return // a longer status line than the one read
			}
			t.Fatalf("%q: %v", b, err)
		}
		if again.Method != m.Method || again.URI != m.URI || again.Status != m.Status || !reflect.DeepEqual(again.Body, m.Body) {
			t.Fatalf("%q read as %+v, then %+v", text, m, again)
		}
	})
}

// TestSplitAtEveryBoundary: a message that arrives in two pieces is read as it was written, wherever it is split.
func TestSplitAtEveryBoundary(t *testing.T) {
	const text = "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: a\r\nContent-Length: 6\r\n\r\na\r\n\r\nb" +
		"RTSP/1.0 200 OK\r\nCSeq: 2\r\nContent-Length: 0\r\n\r\n"
	whole := reader(text)
	var want [2]*Message
	for i := range want {
		m, err := whole.Next()
		if err != nil {
			t.Fatal(err)
		}
		want[i] = m
	}
	for at := 1; at < len(text); at++ {
		split := NewReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])), 4<<10))
		for i := range want {
			if m, err := split.Next(); err != nil || !reflect.DeepEqual(m, want[i]) {
				t.Errorf("split at byte %d, message %d: %+v, %v", at, i, m, err)
			}
		}
	}
}
