package standin

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// segmentCount returns the number of segments that cover the length of a title; 0 for an unknown title.
func (f *Fleet) segmentCount(title string) int {
	for _, t := range f.Site.Titles {
		if t.Name == title {
			return max(int(math.Ceil(t.Length.Std().Seconds()/SegmentSeconds)), 1)
		}
	}
	return 0
}

// multivariantPlaylist lists one variant for each rung, with the rates of a class. BANDWIDTH is in bits per second.
func (f *Fleet) multivariantPlaylist(class int) string {
	var b strings.Builder
	b.WriteString("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-INDEPENDENT-SEGMENTS\n")
	for i := range f.Site.Ladder {
		fmt.Fprintf(&b, "#EXT-X-STREAM-INF:BANDWIDTH=%d,CODECS=\"mp4a.40.2\"\nr%d/media.m3u8\n", int(f.rungRate(class, i)*8000), i)
	}
	return b.String()
}

// handleMultivariantPlaylist serves a title's multivariant playlist with the rates of the first class.
func (b *Box) handleMultivariantPlaylist(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("file") != "index.m3u8" || b.fleet.segmentCount(r.PathValue("title")) == 0 ||
		!b.hasTitle(r.PathValue("title")) {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
	_, _ = w.Write([]byte(b.fleet.multivariantPlaylist(0)))
}

// handleMedia serves a rung's media playlist and its segments.
func (b *Box) handleMedia(w http.ResponseWriter, r *http.Request) {
	f := b.fleet
	w.Header().Set("Access-Control-Allow-Origin", "*")
	rung, err := strconv.Atoi(strings.TrimPrefix(r.PathValue("rung"), "r"))
	count := f.segmentCount(r.PathValue("title"))
	if err != nil || rung < 0 || rung >= len(f.Site.Ladder) || count == 0 || !b.hasTitle(r.PathValue("title")) {
		http.NotFound(w, r)
		return
	}
	f.mu.Lock()
	faults := b.faults
	s := b.sessions[r.URL.Query().Get("s")]
	share, rate := b.rateShare, 0.0
	if s != nil {
		rate = s.rate
	}
	f.mu.Unlock()
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	if r.PathValue("file") == "media.m3u8" {
		w.Header().Set("Content-Type", "application/vnd.apple.mpegurl")
		if faults.MediaPlaylist != "" {
			_, _ = w.Write([]byte(faults.MediaPlaylist))
			return
		}
		_, _ = w.Write([]byte(mediaPlaylist(count)))
		return
	}
	n, err := strconv.Atoi(strings.TrimSuffix(r.PathValue("file"), ".aac"))
	if err != nil || n < 0 || n >= count {
		http.NotFound(w, r)
		return
	}
	if s == nil { // segments are served only to sessions that this box runs
		http.Error(w, "no such session", http.StatusGone)
		return
	}
	if share < 1 { // the link is overloaded: the transfer takes longer than the segment plays
		wait := time.Duration(SegmentSeconds * (1/max(share, 0.05) - 1) * float64(time.Second))
		select {
		case <-r.Context().Done():
			return
		case <-time.After(min(wait, 5*time.Second)):
		}
	}
	w.Header().Set("Content-Type", "audio/aac")
	_, _ = w.Write(newSegment(n, int(rate*SegmentSeconds*1000/f.ModelScale)))
}

// mediaPlaylist returns a VOD media playlist with count segments.
func mediaPlaylist(count int) string {
	var b strings.Builder
	b.WriteString("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:1\n#EXT-X-MEDIA-SEQUENCE:0\n#EXT-X-PLAYLIST-TYPE:VOD\n")
	for i := range count {
		fmt.Fprintf(&b, "#EXTINF:%.3f,\n%d.aac\n", SegmentSeconds, i)
	}
	b.WriteString("#EXT-X-ENDLIST\n")
	return b.String()
}

// newSegment returns segment n as packed audio: an ID3 tag with the time stamp (RFC 8216, section 3.4) and a private
// frame that pads the segment to size, then 48 ADTS frames of silence (AAC-LC, 48 kHz, mono).
func newSegment(n, size int) []byte {
	const frames = 48
	silence := []byte{0x00, 0xc8, 0x00, 0x80, 0x23, 0x80}
	length := 7 + len(silence)
	adts := []byte{0xff, 0xf1, 1<<6 | 3<<2, 1 << 6, byte(length >> 3), byte(length&7)<<5 | 0x1f, 0xfc}
	body := make([]byte, 0, frames*length)
	for range frames {
		body = append(append(body, adts...), silence...)
	}
	timestamp := binary.BigEndian.AppendUint64(nil, uint64(float64(n)*SegmentSeconds*90000)&(1<<33-1))
	tag := privFrame("com.apple.streaming.transportStreamTimestamp", timestamp)
	if padding := size - len(body) - len(tag) - 40; padding > 0 {
		tag = append(tag, privFrame("example.rainpulley.padding", make([]byte, padding))...)
	}
	out := append([]byte("ID3\x04\x00\x00"), syncSafe(len(tag))...)
	return append(append(out, tag...), body...)
}

// privFrame returns an ID3v2.4 PRIV frame.
func privFrame(owner string, data []byte) []byte {
	out := append([]byte("PRIV"), syncSafe(len(owner)+1+len(data))...)
	out = append(out, 0, 0)
	return append(append(append(out, owner...), 0), data...)
}

// syncSafe encodes n as an ID3v2.4 synchsafe integer: 4 bytes of 7 bits each.
func syncSafe(n int) []byte {
	return []byte{byte(n >> 21 & 0x7f), byte(n >> 14 & 0x7f), byte(n >> 7 & 0x7f), byte(n & 0x7f)}
}
