package edge_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"rainpulley/internal/audit"
	"rainpulley/internal/standin"
)

// The manifest, media playlist and segments of a session are served, and invalid requests get the right status.
func TestPlayAndReload(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	code, manifest := env.play(0, "class=play&best=1&key=k1")
	if code != 200 || strings.Count(manifest, "#EXT-X-STREAM-INF:") != 1 {
		t.Fatalf("%d %s", code, manifest)
	}
	uri := env.mediaURL(0, manifest)
	code, list := env.get(uri)
	if code != 200 || !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:0\n") || strings.Contains(list, "ENDLIST") || !strings.Contains(list, "/r1/0.aac?s=") {
		t.Fatalf("%d %s", code, list)
	}
	env.boxOf(list)
	for _, l := range strings.Split(list, "\n") {
		if strings.HasPrefix(l, "http://") {
			if code, body := env.get(l); code != 200 || !strings.HasPrefix(body, "ID3") {
				t.Errorf("segment %s: %d", l, code)
			}
		}
	}
	for _, c := range []struct {
		path string
		want int
	}{{"/play/none/index.m3u8", 404}, {"/play/clip/index.m3u8?class=x", 400}, {"/play/clip/index.m3u8?best=x", 400}, {"/play/clip/index.m3u8?key=a/b", 400},
		{"/play/clip/index.m3u8?class=paid&best=0", 400}, {"/x", 404}, {"/s/a", 404}, {"/s/play/clip/k9/9/0/media.m3u8", 400}, {"/s/play/clip/k1/1/0/r1.m3u8", 404},
		{"/s/play/none/k9/1/0/media.m3u8", 404}, {"/play/clip/index.m3u8?patience=0", 400}, {"/healthz", 200}} {
		if code, body := env.get("http://" + env.site.Edges[0].Listen + c.path); code != c.want {
			t.Errorf("%s: %d %s", c.path, code, body)
		}
	}
	env.checkAudit()
}

// Concurrent requests of one viewer on several connections join one session, which is set up once.
func TestRetriesJoinSession(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.fleet.SetUpTime = 100 * time.Millisecond
	env.startEdge(0, 3)
	var work sync.WaitGroup
	for range 20 {
		work.Add(1)
		go func() {
			defer work.Done()
			if code, body := env.play(0, "class=paid&key=same"); code != 200 {
				t.Errorf("%d %s", code, body)
			}
		}()
	}
	work.Wait()
	if code, body := env.get("http://" + env.site.Edges[0].Listen + "/play/clip/index.m3u8?CMCD=tb%3D3000%2Csid%3D%22cmcd-1%22"); code != 200 || !strings.Contains(body, "/cmcd-1/0/") {
		t.Errorf("CMCD: %d %s", code, body)
	}
	_, manifest := env.play(0, "class=paid&key=same")
	env.get(env.mediaURL(0, manifest))
	if n := env.countEntries(audit.SetUpReceived, "paid"); n != 1 {
		t.Errorf("%d set-ups for one viewer", n)
	}
	env.checkAudit()
}

// A box drains after a viewer fetched its manifest: the session keeps playing there, and new sessions go elsewhere.
func TestDrainDuringPlayback(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.startEdge(0, 2)
	_, manifest := env.play(0, "key=k1")
	uri := env.mediaURL(0, manifest)
	_, list := env.get(uri)
	b := env.boxOf(list)
	b.Drain(true)
	env.waitFor("the planner to publish the drain", func() bool {
		_, body := env.get("http://" + env.site.Planner.Listen + "/v1/view")
		return strings.Contains(body, "draining")
	})
	if code, again := env.get(uri); code != 200 || env.boxOf(again) != b {
		t.Errorf("%d: the drain affected a playing session:\n%s", code, again)
	}
	time.Sleep(100 * time.Millisecond)
	for i := range 8 {
		_, m := env.play(0, fmt.Sprint("key=n", i))
		if _, l := env.get(env.mediaURL(0, m)); env.boxOf(l) == b {
			t.Errorf("new session at a draining box")
		}
	}
	env.checkAudit()
}

// A box crashes between the requests for the multivariant and the first media playlist: the reload is answered from
// another box.
func TestBoxCrashBeforeMediaPlaylist(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	_, manifest := env.play(0, "key=k1")
	var crashed *standin.Box
	for _, b := range env.fleet.Boxes {
		if b.SessionCount() > 0 {
			crashed = b
		}
	}
	crashed.Crash()
	uri := env.mediaURL(0, manifest)
	env.waitFor("the reload to be answered from another box", func() bool {
		code, list := env.get(uri)
		return code == 200 && env.boxOf(list) != crashed
	})
	if _, list := env.get(uri); !strings.Contains(list, "#EXT-X-DISCONTINUITY\n") && !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:0\n") {
		t.Errorf("%s", list)
	}
	if n := env.countEntries(audit.SetUpReceived, ""); n != 2 {
		t.Errorf("%d set-ups, want 2", n)
	}
	env.checkAudit()
}

// A reload at another edge, which does not know the session, sets it up there at the current playback position.
func TestReloadAtAnotherEdge(t *testing.T) {
	env := newTestEnv(t, 3, 2, nil)
	env.startEdge(0, 3)
	env.startEdge(1, 3)
	_, manifest := env.play(0, "key=k1")
	time.Sleep(2200 * time.Millisecond)
	code, list := env.get(env.mediaURL(1, manifest))
	if code != 200 || !strings.Contains(list, "#EXT-X-MEDIA-SEQUENCE:2\n") || !strings.Contains(list, "/2.aac") {
		t.Errorf("%d %s", code, list)
	}
	env.checkAudit()
}

// The answer to a set-up is lost although the box runs the session. A session of a repeatable class is set up at
// another box once the attempt has ended; one of an at-most-once class fails and is not retried. The box then
// releases the orphaned session.
func TestSetUpAnswerLost(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.startEdge(0, 3)
	loseNextAnswer := func(b *standin.Box) { b.SetFaults(func(f *standin.Faults) { f.LostAnswerShare = 1 }) }
	for _, b := range env.fleet.Boxes {
		loseNextAnswer(b)
	}
	code, _ := env.play(0, "class=paid&key=p1")
	if code != 502 {
		t.Errorf("paid: %d, want failed", code)
	}
	if n := env.countEntries(audit.SetUpRan, "paid"); n != 1 {
		t.Errorf("paid: %d set-ups ran", n)
	}
	healthy := env.fleet.Boxes[1]
	healthy.SetFaults(func(f *standin.Faults) { f.LostAnswerShare = 0 })
	played := false
	for i := range 4 {
		code, _ = env.play(0, fmt.Sprint("class=play&key=r", i))
		played = played || code == 200
	}
	if !played {
		t.Error("repeatable: never played")
	}
	env.waitFor("orphaned sessions to be released", func() bool {
		return env.fleet.Boxes[0].SessionCount()+env.fleet.Boxes[2].SessionCount() == 0
	})
	env.checkAudit()
}

// Viewers disconnect at all moments around the answer, and some request again at once: no session is set up twice or
// left behind.
func TestDisconnectRaces(t *testing.T) {
	env := newTestEnv(t, 3, 1, nil)
	env.fleet.SetUpTime = 20 * time.Millisecond
	env.startEdge(0, 3)
	var work sync.WaitGroup
	for i := range 60 {
		work.Add(1)
		go func() {
			defer work.Done()
			conn, err := net.Dial("tcp", env.site.Edges[0].Listen)
			if err != nil {
				t.Error(err)
				return
			}
			fmt.Fprintf(conn, "GET /play/clip/index.m3u8?class=paid&key=g%d HTTP/1.1\r\nHost: x\r\n\r\n", i)
			time.Sleep(time.Duration(i) * time.Millisecond)
			conn.Close()
			if i%3 == 0 { // request again at once
				if code, body := env.play(0, fmt.Sprintf("class=paid&key=g%d", i)); code != 200 && code != 503 {
					t.Errorf("%d %s", code, body)
				}
			}
		}()
	}
	work.Wait()
	env.checkAudit()
}

// A malformed or forbidden playlist from a box gives the viewer 502 or 503.
func TestMalformedPlaylists(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.startEdge(0, 2)
	for i, text := range []string{"nonsense", "#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXTINF:1,\nhttp://evil/x\n", "#EXTM3U\n#EXT-X-TARGETDURATION:1\n"} {
		for _, b := range env.fleet.Boxes {
			b.SetFaults(func(f *standin.Faults) { f.MediaPlaylist = text })
		}
		if code, _ := env.play(0, fmt.Sprint("class=paid&key=b", i)); code != 502 && code != 503 {
			t.Errorf("%q: %d", text, code)
		}
	}
	env.checkAudit()
}

// A manifest with an audio group: the session's manifest has the URLs of the main and the audio playlist at the edge,
// and the segments of both are at the box of the session. Unknown tags are preserved.
func TestRenditions(t *testing.T) {
	env := newTestEnv(t, 2, 1, nil)
	env.startEdge(0, 2)
	for _, b := range env.fleet.Boxes {
		b.SetFaults(func(f *standin.Faults) {
			f.Manifest = "#EXTM3U\n#EXT-X-NEW-TAG:A=1\n#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"a\",NAME=\"en\",URI=\"r0/media.m3u8\"\n" +
				"#EXT-X-MEDIA:TYPE=AUDIO,GROUP-ID=\"b\",NAME=\"other\",URI=\"r1/media.m3u8\"\n" +
				"#EXT-X-STREAM-INF:BANDWIDTH=9,AUDIO=\"a\"\nr2/media.m3u8\n"
		})
	}
	code, manifest := env.play(0, "key=k1")
	if code != 200 || !strings.Contains(manifest, "#EXT-X-NEW-TAG:A=1\n") || strings.Contains(manifest, "GROUP-ID=\"b\"") {
		t.Fatalf("%d %s", code, manifest)
	}
	uri := env.mediaURL(0, manifest)
	_, main := env.get(uri)
	code, audio := env.get(strings.Replace(uri, "media.m3u8", "r1.m3u8", 1))
	if code != 200 || env.boxOf(audio) != env.boxOf(main) || !strings.Contains(audio, "/r0/0.aac") || !strings.Contains(main, "/r2/0.aac") {
		t.Errorf("%d\n%s\n%s", code, audio, main)
	}
	if code, _ := env.get(strings.Replace(uri, "media.m3u8", "r3.m3u8", 1)); code != 404 {
		t.Errorf("unknown rendition: %d, want 404", code)
	}
}
