package config

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"rainpulley/control"
)

const examplePath = "../../examples/site.jsonnet"

// TestErrorsNameFileAndField checks that each invalid change to the example site is rejected with an error that
// names the file and the field.
func TestErrorsNameFileAndField(t *testing.T) {
	text, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ change, want string }{
		{"{ colour: 1 }", "colour"}, {"{ rules+: { drain_grase: '1s' } }", "drain_grase"}, {"{ classes: [{ name: 'a', wort: 1 }] }", "wort"},
		{"{ rules+: { ramp: 12 } }", "ramp"}, {"{ rules+: { ramp: '12' } }", "ramp"}, {"{ rules+: { ramp: '-1s' } }", "rules.ramp"},
		{"{ links+: { uplink: 48 } }", "uplink"}, {"{ links+: { uplink: '48 parsecs' } }", "uplink"}, {"{ links+: { per_weight: '0kB/s' } }", "links.per_weight"},
		{"{ cells: 1.5 }", "cells"}, {"{ cells: 0 }", "cells"}, {"{ zones: [] }", "zones"}, {"{ zones: 'x' }", "zones"},
		{"{ ladder: [{ rate: '2kB/s', worth: 1 }, { rate: '1kB/s', worth: 1 }] }", "ladder[1]"},
		{"{ classes: [{ name: 'a b', effect: 'paid', aim: '1s', deadline: '2s' }] }", "classes[0].name"},
		{"{ classes: [{ name: 'a', effect: 'once', aim: '1s', deadline: '2s' }] }", "classes[0].effect"},
		{"{ classes: [{ name: 'a', effect: 'paid', aim: '3s', deadline: '2s' }] }", "classes[0].deadline"},
		{"{ classes: [{ name: 'a', effect: 'paid', aim: '1s', deadline: '2s', floor: 4, top: 3 }] }", "classes[0]"},
		{"{ titles: [{ name: 'a', home: 99, span: 1 }] }", "titles[0].home"}, {"{ titles: [{ name: 'a', home: 0, span: 0 }] }", "titles[0].span"},
		{"{ boxes: [{ addr: 'x', zone: 'east-hall', kind: 'two-core', cell: 0, weight: 1 }] }", "boxes[0].addr"},
		{"{ boxes: [{ addr: 'x:1', zone: 'no', kind: 'two-core', cell: 0, weight: 1 }] }", "boxes[0].zone"},
		{"{ boxes: [{ addr: 'x:1', zone: 'east-hall', kind: 'no', cell: 0, weight: 1 }] }", "boxes[0].kind"},
		{"{ edges: [{ zone: 'east-hall', listen: 'x' }] }", "edges[0].listen"}, {"{ planner+: { gone_after: 0 } }", "planner"},
		{"{ notes+: { reports: 'x' } }", "notes.reports"}, {"{ playback+: { silence: '1s' } }", "playback.silence"}, {"{ limits+: { queue: 0 } }", "limits"},
		{"{ rules+: { start_share: 2 } }", "rules.start_share"}, {"error 'x'", "site.jsonnet"}, {"{", "site.jsonnet:"},
	} {
		_, err := Parse("site.jsonnet", string(text)+"+"+c.change, nil)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "site.jsonnet") {
			t.Errorf("%s: %v, want %s", c.change, err, c.want)
		}
	}
	if _, err := Load("nowhere.jsonnet", nil); err == nil || !strings.Contains(err.Error(), "nowhere") {
		t.Error(err)
	}
}

// TestExampleSite checks that the example site is valid, that the controller accepts its settings, and that the site
// is unchanged after it is written as JSON and read again. Errors in either direction would lose settings silently.
func TestExampleSite(t *testing.T) {
	s, err := Load(examplePath, nil)
	if err != nil {
		t.Fatal(err)
	}
	set := s.Settings(1)
	if _, err := control.New(set, 1); err != nil {
		t.Error(err)
	}
	if set.Zone != 1 || set.Fronts != 3 || set.Classes[2].Effect != control.AtMostOnce || set.Classes[1].MaxRung != 3 || set.Classes[0].MaxRung != 4 ||
		set.Ramp != 12*time.Second || set.LinkRatePerWeight != 4800 || set.TotalLinkRate != 4800*28 {
		t.Errorf("%+v", set)
	}
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("again", string(b), nil)
	if err != nil || !reflect.DeepEqual(s, again) {
		t.Errorf("%v\n%+v\n%+v", err, s, again)
	}
	v, err := Parse("x", "std.mergePatch("+string(b)+", { zones: [std.extVar('z'), 'west-hall', 'north-hall'] })", map[string]string{"z": "east-hall"})
	if err != nil || v.Zones[0] != "east-hall" {
		t.Error(err)
	}
}
