package rtsp

import (
	"bufio"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func newTestReader(text string) *Reader {
	return NewReader(bufio.NewReaderSize(strings.NewReader(text), 4<<10))
}

// TestRead checks that a request and a response are read from one stream and that the stream then ends with io.EOF.
func TestRead(t *testing.T) {
	text := "\r\nSETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nsession:  a \r\nContent-Length: 3\r\n\r\na\nb" +
		"RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
	r := newTestReader(text)
	m, err := r.Next()
	if err != nil || m.Method != "SETUP" || m.URI != "rtsp://media/7f" || m.Get("Session") != "a" ||
		string(m.Body) != "a\nb" {
		t.Fatalf("request: got %+v, %v", m, err)
	}
	if m, err = r.Next(); err != nil || m.Status != 200 || m.Method != "" {
		t.Fatalf("response: got %+v, %v", m, err)
	}
	if _, err = r.Next(); err != io.EOF {
		t.Fatal(err)
	}
}

// TestMalformedMessages checks the status for each malformed message; status 0 stands for io.ErrUnexpectedEOF.
func TestMalformedMessages(t *testing.T) {
	const start, end = "SETUP rtsp://media/1 RTSP/1.0\r\n", "Content-Length: 0\r\n\r\n"
	for _, c := range []struct {
		text   string
		status int
	}{
		{"noise\r\n\r\n", 400}, {"\x00\xff\x01\r\n\r\n", 400}, {start + "X: 1\n" + end, 400},
		{start + " folded\r\n" + end, 400},
		{start + "X : 1\r\n" + end, 400}, {start + ": 1\r\n" + end, 400}, {start + "\r\n", 400},
		{"SETUP a b RTSP/1.0\r\n" + end, 400},
		{"SETUP rtsp://media/1 RTSP/2.0\r\n" + end, 400}, {"RTSP/1.0 20 OK\r\n" + end, 400},
		{"RTSP/1.0 -20 OK\r\n" + end, 400},
		{start + "Content-Length: -1\r\n\r\n", 400}, {start + "Content-Length: +1\r\n\r\na", 400},
		{start + "Content-Length: 1e3\r\n\r\n", 400},
		{start + "Content-Length: 99999999999999999999\r\n\r\n", 400}, {start + "Content-Length: \r\n\r\n", 400},
		{start + "Content-Length: 0\r\n" + end, 400}, {start + "Content-Length: 60000000\r\n\r\n", 413},
		{start + "X: " + strings.Repeat("a", 5000) + "\r\n" + end, 413}, {start + strings.Repeat("X: 1\r\n", 40) + end, 400},
		{start + strings.Repeat("X: "+strings.Repeat("a", 2000)+"\r\n", 9) + end, 413}, {start + "X: \x00\r\n" + end, 400},
		{start + "Content-Length: 5\r\n\r\nabc", 0}, {start + "X: ", 0},
	} {
		_, err := newTestReader(c.text).Next()
		var malformed *Error
		switch {
		case c.status == 0 && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Errorf("%.60q: got error %v, want io.ErrUnexpectedEOF", c.text, err)
		case c.status != 0 && (!errors.As(err, &malformed) || malformed.Status != c.status):
			t.Errorf("%.60q: got error %v, want status %d", c.text, err, c.status)
		}
	}
}

// FuzzNext checks that no input causes a panic, that no body exceeds the limit, and that a message that was read keeps
// its content when it is written and read again.
func FuzzNext(f *testing.F) {
	f.Add("SETUP rtsp://media/1 RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 1\r\n\r\nx")
	f.Add("RTSP/1.0 453 No\r\nSession: 1\r\nContent-Length: 0\r\n\r\n")
	f.Add("SETUP rtsp://media/1 RTSP/1.0\r\nContent-Length: 18446744073709551615\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		m, err := newTestReader(text).Next()
		if err != nil {
			return
		}
		if len(m.Body) > MaxMessageBytes {
			t.Fatal("body exceeds the message limit")
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
		again, err := newTestReader(string(b)).Next()
		if err != nil {
			var malformed *Error
			if errors.As(err, &malformed) && malformed.Status == 413 {
				return // the status line written is longer than the one that was read
			}
			t.Fatalf("reading the written message %q: %v", b, err)
		}
		if again.Method != m.Method || again.URI != m.URI || again.Status != m.Status ||
			!reflect.DeepEqual(again.Body, m.Body) {
			t.Fatalf("%q was read as %+v, then as %+v", text, m, again)
		}
	})
}

// TestSplitAtEveryBoundary checks that a message that arrives in two pieces is read correctly, wherever it is split.
func TestSplitAtEveryBoundary(t *testing.T) {
	const text = "SETUP rtsp://media/7f RTSP/1.0\r\nCSeq: 1\r\nSession: a\r\nContent-Length: 6\r\n\r\na\r\n\r\nb" +
		"RTSP/1.0 200 OK\r\nCSeq: 2\r\nContent-Length: 0\r\n\r\n"
	unsplit := newTestReader(text)
	var want [2]*Message
	for i := range want {
		m, err := unsplit.Next()
		if err != nil {
			t.Fatal(err)
		}
		want[i] = m
	}
	for at := 1; at < len(text); at++ {
		split := NewReader(bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])),
			4<<10))
		for i := range want {
			if m, err := split.Next(); err != nil || !reflect.DeepEqual(m, want[i]) {
				t.Errorf("split at byte %d, message %d: %+v, %v", at, i, m, err)
			}
		}
	}
}
