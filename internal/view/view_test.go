package view

import (
	"encoding/json"
	"errors"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// drawView draws a random view of at most 4 boxes and 2 titles.
func drawView(t *rapid.T, name string) View {
	var v View
	for _, id := range []string{"a:1", "b:1", "c:1", "d:1"} {
		if rapid.Bool().Draw(t, name+id) {
			v.Boxes = append(v.Boxes, Box{ID: id, Zone: "z", Kind: "k",
				State: rapid.SampledFrom([]State{StateReady, StateDraining}).Draw(t, "state"),
				Cell:  rapid.IntRange(0, 2).Draw(t, "cell"), StartedMs: rapid.Int64Range(0, 2).Draw(t, "started")})
		}
	}
	for _, n := range []string{"t", "u"} {
		if rapid.Bool().Draw(t, name+n) {
			v.Titles = append(v.Titles, Title{Name: n, CellSpan: rapid.IntRange(1, 2).Draw(t, "span")})
		}
	}
	return v
}

// TestDiffApply checks that the encoded difference of two random views turns the first into the second, and that Apply
// does not modify the first.
func TestDiffApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawView(t, "from"), drawView(t, "to")
		from.Version, to.Version = 5, 6
		b, err := json.Marshal(Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		update, err := Decode(b)
		if err != nil {
			t.Fatalf("%s: %v", b, err)
		}
		before, _ := json.Marshal(from)
		got, changed, err := Apply(from, update)
		if err != nil || !changed {
			t.Fatal(err)
		}
		x, _ := json.Marshal(got)
		y, _ := json.Marshal(to)
		var a, c View
		_ = json.Unmarshal(x, &a)
		_ = json.Unmarshal(y, &c)
		if len(a.Boxes)+len(c.Boxes) > 0 && !reflect.DeepEqual(a.Boxes, c.Boxes) ||
			len(a.Titles)+len(c.Titles) > 0 && !reflect.DeepEqual(a.Titles, c.Titles) {
			t.Fatalf("%s -> %s, want %s", b, x, y)
		}
		if after, _ := json.Marshal(from); string(before) != string(after) {
			t.Fatal("Apply modified its input view")
		}
	})
}

// TestInvalidUpdates checks that updates for another version return ErrVersionGap, and that Decode rejects invalid
// lines.
func TestInvalidUpdates(t *testing.T) {
	v := View{Version: 5}
	for _, c := range []struct {
		line string
		want error
	}{{`{"v":5}`, nil}, {`{"v":6}`, ErrVersionGap}, {`{"v":4}`, ErrVersionGap}, {`{"v":7,"base":6}`, ErrVersionGap},
		{`{"v":5,"base":5}`, ErrVersionGap}, {`{"v":3,"whole":true}`, nil}} {
		update, err := Decode([]byte(c.line))
		if err == nil {
			_, _, err = Apply(v, update)
		}
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.line, err, c.want)
		}
	}
	for _, bad := range []string{"", "{", `{"w":1}`, `{"v":1,"boxes":[{"id":"a","state":"ready","cell":0}]}`,
		`{"v":1,"whole":true,"boxes":[{"id":"a","state":"?"}]}`,
		`{"v":1,"whole":true,"boxes":[{"id":"a","state":"ready","cell":-1}]}`,
		`{"v":1,"whole":true,"titles":[{"name":"t","span":0}]}`} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// FuzzDecode checks that decoding and applying any line never panics.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"v":1,"whole":true,"boxes":[{"id":"a","state":"ready","cell":1}],"titles":[{"name":"t","span":1}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if update, err := Decode(b); err == nil {
			_, _, _ = Apply(View{Version: 1}, update)
		}
	})
}
