package hls

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const fullPlaylist = `#EXTM3U
#EXT-X-VERSION:7
#EXT-X-TARGETDURATION:6
#EXT-X-MEDIA-SEQUENCE:10
#EXT-X-DISCONTINUITY-SEQUENCE:2
#EXT-X-INDEPENDENT-SEGMENTS
#EXT-X-DEFINE:NAME="dir",VALUE="v1"
#EXT-X-MAP:URI="{$dir}/init.mp4",BYTERANGE="600@0"
#EXT-X-KEY:METHOD=AES-128,URI="key?id=1",IV=0x01
#EXT-X-KEY:METHOD=SAMPLE-AES,URI="skd://x",KEYFORMAT="com.apple"
#EXT-X-PROGRAM-DATE-TIME:2026-11-28T20:00:00Z
#EXTINF:5.5,first
#EXT-X-BYTERANGE:1000@600
{$dir}/all.mp4
#EXTINF:6,
#EXT-X-BYTERANGE:2000
v1/all.mp4
#EXT-X-DISCONTINUITY
#EXT-X-KEY:METHOD=NONE
#EXT-X-SPECIAL:A=1,B="two, three"
#EXTINF:4,
/other/x.mp4?y=z
#EXT-X-ENDLIST
`

func parseMedia(t testing.TB, text string) *MediaPlaylist {
	t.Helper()
	m, err := ParseMedia([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestParseMedia checks variables, keys, map, byte ranges and unknown tags of a playlist that has all of them.
func TestParseMedia(t *testing.T) {
	m := parseMedia(t, fullPlaylist)
	if m.Version != 7 || m.TargetDuration != 6 || m.MediaSequence != 10 || m.DiscontinuitySequence != 2 || !m.EndList ||
		len(m.Segments) != 3 {
		t.Errorf("unexpected playlist fields: %+v", m)
	}
	a, b, c := m.Segments[0], m.Segments[1], m.Segments[2]
	if a.URI != "v1/all.mp4" || a.ByteRange != "1000@600" || a.Title != "first" || len(a.Keys) != 2 ||
		!strings.Contains(a.Map, "v1/init.mp4") ||
		len(a.OtherTags) != 1 {
		t.Errorf("first segment: %+v", a)
	}
	if b.ByteRange != "2000@1600" || b.Map != a.Map {
		t.Errorf("byte range without offset does not continue the previous one, or the map changed: %+v", b)
	}
	if !c.Discontinuity || len(c.Keys) != 0 || len(c.OtherTags) != 1 ||
		c.OtherTags[0] != `#EXT-X-SPECIAL:A=1,B="two, three"` {
		t.Errorf("third segment: %+v", c)
	}
}

// TestMalformedPlaylists checks the errors for malformed playlists; an empty want means that the text is valid.
func TestMalformedPlaylists(t *testing.T) {
	head := "#EXTM3U\n#EXT-X-TARGETDURATION:6\n"
	for _, c := range []struct{ text, want string }{
		{"", "TARGETDURATION"}, {"\n#EXTM3U\n", "line 1"}, {"#EXTM3U8\n", "line 1"},
		{"#EXTM3U\n#EXTINF:1,\na\n", "TARGETDURATION"},
		{head + "a.ts\n", "line 3: URI without EXTINF"},
		{head + "#EXTINF:x,\na\n", "line 3"}, {head + "#EXTINF:-1,\na\n", "line 3"}, {head + "#EXTINF:NaN,\na\n", "line 3"},
		{head + "#EXTINF:1,\n#EXTINF:1,\na\n", "line 4"},
		{head + "#EXTINF:7,\na\n", "longer than the target"},
		{head + "#EXTINF:1,\n", "no URI"},
		{head + "#EXT-X-TARGETDURATION:6\n", "appears more than once"},
		{head + "#EXT-X-MEDIA-SEQUENCE:-1\n", "not a decimal integer"},
		{head + "#EXT-X-BYTERANGE:10\n#EXTINF:1,\na\n", "BYTERANGE"},
		{head + "#EXT-X-BYTERANGE:9223372036854775807@1\n#EXTINF:1,\na\n", "BYTERANGE"},
		{head + "#EXT-X-KEY:URI=\"x\"\n", "METHOD"}, {head + "#EXT-X-MAP:URI=\"x\n", "quote"},
		{head + "#EXT-X-MAP:URI=\"x\",URI=\"y\"\n", "duplicate attribute URI"},
		{head + "#EXT-X-MAP:uri=\"x\"\n", "malformed"},
		{head + "#EXTINF:1,\n{$no}\n", ""}, {head + "#EXT-X-DEFINE:NAME=\"a\",VALUE=\"b\"\n#EXTINF:1,\n{$no}\n", "line 5"},
		{head + "#EXT-X-DEFINE:NAME=\"a\",VALUE=\"{$a}\"\n#EXTINF:1,\n{$a}", ""},
		{head + "#EXT-X-DEFINE:IMPORT=\"a\"\n", "IMPORT"}, {head + "#EXTINF:1,\na\x01\n", "control"},
		{head + "#EXT-X-STREAM-INF:BANDWIDTH=1\n", "in a media playlist"}, {head + "#EXT-X-PLAYLIST-TYPE:LIVE\n", "neither"},
	} {
		_, err := ParseMedia([]byte(c.text))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
	for _, c := range []struct{ text, want string }{
		{"#EXTM3U\n", "no variant"}, {"#EXTM3U\na\n", "URI without"},
		{"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=x\na\n", "BANDWIDTH"},
		{"#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n", "no URI"}, {"#EXTM3U\n#EXT-X-MEDIA:TYPE=AUDIO\n", "GROUP-ID"},
		{"#EXTM3U\n#EXTINF:1,\n", "multivariant"},
	} {
		if _, err := ParseMultivariant([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// TestMultivariantRoundTrip checks that a multivariant playlist is written as it was read.
func TestMultivariantRoundTrip(t *testing.T) {
	text := `#EXTM3U
#EXT-X-VERSION:4
#EXT-X-SESSION-DATA:DATA-ID="x",VALUE="y"
#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID="a",NAME="hi, there",URI="a/hi.m3u8"
#EXT-X-STREAM-INF:BANDWIDTH=2000,AUDIO="a",CODECS="avc1,mp4a"
high.m3u8
#EXT-X-STREAM-INF:BANDWIDTH=1000
low.m3u8
`
	m, err := ParseMultivariant([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if got := string(m.Append(nil)); got != text {
		t.Errorf("written as\n%s", got)
	}
	if got := m.Renditions[0].Attributes.WithValue("URI", "/r1").String(); got !=
		`TYPE=AUDIO,GROUP-ID="a",NAME="hi, there",URI="/r1"` {
		t.Error(got)
	}
}

// TestResolvePath checks relative and absolute references; an empty want means an error.
func TestResolvePath(t *testing.T) {
	for _, c := range []struct{ base, ref, want string }{
		{"http://b/t/x/index.m3u8", "r1/media.m3u8", "/t/x/r1/media.m3u8"},
		{"http://b/t/x/r1/media.m3u8", "../../y?a=b#c", "/t/y?a=b"},
		{"http://b/t/", "/abs", "/abs"}, {"http://b/t/", "http://b/same", "/same"},
		{"http://b/t/", "http://evil/x", ""}, {"http://b/t/", "//evil/x", ""}, {"http://b/t/", "https://b/x", ""},
		{"http://b/t/", "data:x", ""},
	} {
		got, err := ResolvePath(c.base, c.ref)
		if got != c.want || (err != nil) != (c.want == "") {
			t.Errorf("%s + %s = %q, %v; want %q", c.base, c.ref, got, err, c.want)
		}
	}
}

// newTestTrack returns a track of n segments of 2 s, with URIs below dir.
func newTestTrack(t testing.TB, n int, dir string) *Track {
	var b strings.Builder
	b.WriteString("#EXTM3U\n#EXT-X-TARGETDURATION:2\n")
	for i := range n {
		fmt.Fprintf(&b, "#EXTINF:2,\n%d.ts\n", i)
	}
	track, err := NewTrack(parseMedia(t, b.String()), "http://box/"+dir+"/m.m3u8")
	if err != nil {
		t.Fatal(err)
	}
	return track
}

// TestWindowLifecycle publishes segments across a change of rung, a move to another box and the end of the content.
func TestWindowLifecycle(t *testing.T) {
	low, high := newTestTrack(t, 8, "low"), newTestTrack(t, 8, "high")
	var w Window
	w.SetSource("http://b1", "s=1", low, 0)
	w.StartAt(0)
	w.Publish(2, 4)
	w.SetSource("http://b1", "s=1", high, 0)
	w.Publish(4, 4)
	first := string(w.Append(nil))
	want := "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:1\n" +
		"#EXTINF:2,\nhttp://b1/low/1.ts?s=1\n#EXTINF:2,\nhttp://b1/low/2.ts?s=1\n" +
		"#EXT-X-DISCONTINUITY\n#EXTINF:2,\nhttp://b1/high/3.ts?s=1\n#EXTINF:2,\nhttp://b1/high/4.ts?s=1\n"
	if first != want {
		t.Errorf("got\n%swant\n%s", first, want)
	}
	w.SetSource("http://b2", "s=2", high, 3) // the player is at segment 3, so 3 and 4 are published again on the new box
	w.Publish(5, 4)
	second := string(w.Append(nil))
	want = "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:2\n#EXT-X-MEDIA-SEQUENCE:5\n#EXT-X-DISCONTINUITY-SEQUENCE:1\n" +
		"#EXT-X-DISCONTINUITY\n#EXTINF:2,\nhttp://b2/high/3.ts?s=2\n#EXTINF:2,\nhttp://b2/high/4.ts?s=2\n#EXTINF:2,\nhttp://b2/high/5.ts?s=2\n"
	if second != want || strings.Contains(second, "b1") {
		t.Errorf("got\n%swant\n%s", second, want)
	}
	w.Publish(100, 4)
	if end := string(w.Append(nil)); !strings.HasSuffix(end, "7.ts?s=2\n#EXT-X-ENDLIST\n") || !w.Ended() {
		t.Error(end)
	}
}

// TestWindowKeysAndMap checks that every window repeats the keys and the map that apply to its first segment, with the
// host of the session's box.
func TestWindowKeysAndMap(t *testing.T) {
	track, err := NewTrack(parseMedia(t, fullPlaylist), "http://box/t/m.m3u8")
	if err != nil {
		t.Fatal(err)
	}
	var w Window
	w.SetSource("http://b1", "s=1", track, 0)
	w.Publish(1, 1)
	got := string(w.Append(nil))
	for _, want := range []string{`#EXT-X-MAP:URI="http://b1/t/v1/init.mp4",BYTERANGE="600@0"`,
		`URI="http://b1/t/key?id=1",IV=0x01`,
		`URI="skd://x"`, "#EXT-X-BYTERANGE:2000@1600", "http://b1/t/v1/all.mp4?s=1", "#EXT-X-MEDIA-SEQUENCE:1"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is missing in\n%s", want, got)
		}
	}
	w.Publish(2, 2)
	got = string(w.Append(nil))
	if !strings.Contains(got, "#EXT-X-KEY:METHOD=NONE") || !strings.Contains(got, "http://b1/other/x.mp4?y=z&s=1") ||
		!strings.Contains(got, "#EXT-X-SPECIAL") {
		t.Error(got)
	}
	if _, err := NewTrack(parseMedia(t, "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\nhttp://evil/x\n"),
		"http://box/m"); err == nil {
		t.Error("a segment on another host was accepted")
	}
}

// TestWindowProperty checks the rules of RFC 8216, 6.2.1 for updated playlists under random playback, rung changes and
// moves: a segment keeps its sequence number and URI, sequence numbers never decrease, and no URI names a former box.
func TestWindowProperty(t *testing.T) {
	tracks := []*Track{newTestTrack(t, 30, "r0"), newTestTrack(t, 30, "r1"), newTestTrack(t, 30, "r2")}
	rapid.Check(t, func(rt *rapid.T) {
		var w Window
		box, rung, position := 0, 0, 0
		w.SetSource("http://b0", "s=0", tracks[0], 0)
		seen := map[uint64]string{}
		var last uint64
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				rung = rapid.IntRange(0, 2).Draw(rt, "rung")
			case 1:
				box++
			default:
				position += rapid.IntRange(0, 3).Draw(rt, "plays")
			}
			host := fmt.Sprint("http://b", box)
			w.SetSource(host, fmt.Sprint("s=", box), tracks[rung], position)
			w.Publish(position+3, 8)
			m, err := ParseMedia(w.Append(nil))
			if err != nil {
				rt.Fatal(err)
			}
			if m.MediaSequence < last {
				rt.Fatalf("media sequence decreased from %d to %d", last, m.MediaSequence)
			}
			last = m.MediaSequence
			for i, s := range m.Segments {
				n := m.MediaSequence + uint64(i)
				if !strings.HasPrefix(s.URI, host+"/") {
					rt.Fatalf("%s names a former box", s.URI)
				}
				if old, ok := seen[n]; ok && old != s.URI {
					rt.Fatalf("segment %d changed from %s to %s", n, old, s.URI)
				}
				seen[n] = s.URI
			}
			if position < 30 && position > 0 && len(m.Segments) == 0 {
				rt.Fatal("the window has no segments")
			}
		}
	})
}

// checkRoundTrip fails if a valid playlist changes when it is written and parsed again.
func checkRoundTrip(t testing.TB, in []byte) {
	m, err := ParseMedia(in)
	if err == nil {
		out := m.Append(nil)
		again, err := ParseMedia(out)
		if err != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%q\nbecame %q\n%+v\n%+v: %v", in, out, m, again, err)
		}
	}
	if v, err := ParseMultivariant(in); err == nil {
		again, err := ParseMultivariant(v.Append(nil))
		if err != nil || !reflect.DeepEqual(v, again) {
			t.Fatalf("%q\nbecame %q: %v", in, v.Append(nil), err)
		}
	}
}

func TestRoundTrip(t *testing.T) {
	checkRoundTrip(t, []byte(fullPlaylist))
	lines := []string{"#EXT-X-VERSION:7", "#EXT-X-MEDIA-SEQUENCE:4", "#EXT-X-DISCONTINUITY", "#EXT-X-KEY:METHOD=NONE",
		"#EXTINF:3.25,t",
		`#EXT-X-KEY:METHOD=AES-128,URI="k"`, `#EXT-X-KEY:METHOD=AES-128,URI="j",KEYFORMAT="z"`, `#EXT-X-MAP:URI="m"`,
		"#EXT-X-BYTERANGE:5@3",
		"#EXT-X-BYTERANGE:5", "a.ts", "b.ts", "#EXT-X-NEW:1", "# comment", "#EXT-X-ENDLIST", "#EXT-X-START:TIME-OFFSET=0",
		"#EXT-X-GAP"}
	rapid.Check(t, func(rt *rapid.T) {
		body := rapid.SliceOfN(rapid.SampledFrom(lines), 0, 30).Draw(rt, "lines")
		checkRoundTrip(t, []byte("#EXTM3U\n#EXT-X-TARGETDURATION:4\n"+strings.Join(body, "\n")))
	})
}

// FuzzPlaylist checks that any accepted playlist survives a round trip and yields a window that can be parsed.
func FuzzPlaylist(f *testing.F) {
	f.Add([]byte(fullPlaylist))
	f.Add([]byte("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1,A=\"b\"\nx\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		checkRoundTrip(t, in)
		if m, err := ParseMedia(in); err == nil {
			if track, err := NewTrack(m, "http://box/t/m.m3u8"); err == nil {
				var w Window
				w.SetSource("http://b", "s=1", track, 0)
				w.Publish(track.Len(), 16)
				if _, err := ParseMedia(w.Append(nil)); err != nil {
					t.Fatalf("%q is written as %q: %v", in, w.Append(nil), err)
				}
			}
		}
	})
}

func BenchmarkWindow(b *testing.B) {
	var w Window
	w.SetSource("http://127.0.0.1:9000", "s=1", newTestTrack(b, 60, "t/clip/r2"), 0)
	w.Publish(20, 11)
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		buf = w.Append(buf[:0])
	}
}
