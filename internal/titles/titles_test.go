package titles

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"rainpulley/internal/view"
)

func title(name string) view.Title { return view.Title{Name: name, CellSpan: 3} }

func listOf(names ...string) (list List) {
	for _, name := range names {
		list.Titles = append(list.Titles, title(name))
	}
	return list
}

// inForce returns the names in force, with a star behind those whose source's word does not count.
func inForce(c *Catalogue) string {
	var out []string
	for name, entry := range c.InForce() {
		if entry.Fault != "" {
			name += "*"
		}
		out = append(out, name)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Which titles are in force after each change: an entry that cannot be read, a removal, a mass removal that is held,
// ended or accepted, words of operators, and a second source that names a title, too.
func TestTitlesInForce(t *testing.T) {
	c := New("catalogue", "site")
	step := func(what, want string, change func()) {
		t.Helper()
		change()
		if got := inForce(c); got != want {
			t.Errorf("%s: in force %q, want %q", what, got, want)
		}
	}
	catalogue := func(list List) func() { return func() { c.Update("catalogue", list, 1000) } }
	broken := listOf("a", "b", "d")
	broken.Invalid = map[string]string{"c": "half written", "never seen": "half written"}
	step("the first list", "a b c d", catalogue(listOf("a", "b", "c", "d")))
	step("an entry that cannot be read", "a b c* d", catalogue(broken))
	if entry := c.InForce()["c"]; entry.Fault != "half written" || entry.Since != 1000 || !entry.Title.Equal(title("c")) {
		t.Errorf("%+v", entry)
	}
	step("the entry is whole again", "a b c d", catalogue(listOf("a", "b", "c", "d")))
	step("an entry that is gone", "a b d", catalogue(listOf("a", "b", "d")))
	step("an entry that returns", "a b c d", catalogue(listOf("a", "b", "c", "d")))
	step("an empty list", "a* b* c* d*", catalogue(listOf()))
	step("most are gone", "a b* c* d*", catalogue(listOf("a")))
	step("half are back", "a b", catalogue(listOf("a", "b")))
	step("the site file names one, too", "a b c", func() { c.Update("site", listOf("b", "c"), 1) })
	step("the catalogue removes a title of the site file", "a b c", catalogue(listOf("a")))
	step("the site file removes a title of the catalogue", "a b c", func() { c.Update("site", listOf("b", "c", "a"), 1); c.Update("site", listOf("b", "c"), 1) })
	step("an operator removes a title", "b c", func() { c.SetOverride(view.Title{Name: "a"}) })
	step("an operator adds a title", "b c x", func() { c.SetOverride(title("x")) })
	step("the site file is emptied", "b* c* x", func() { c.Update("site", listOf(), 2) })
	if invalid, heldRemovals := c.Faults(); invalid != 0 || heldRemovals != 2 {
		t.Errorf("%d invalid, %d held", invalid, heldRemovals)
	}
	step("the removals are accepted", "x", func() {
		names := c.HeldRemovals()
		if !slices.Equal(names, []string{"b", "c"}) || len(c.List("site", names...)) != 0 || len(c.List("site")) != 2 {
			t.Errorf("held %v", names)
		}
		c.AcceptRemovals(names)
	})
}

// Under any sequence of lists, a title leaves only if a whole list without an entry for it names at least half of the
// titles in force before.
func TestTitlesLeaveByPositiveWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New("catalogue")
		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := c.InForce()
			list := List{Invalid: map[string]string{}}
			for i := range 7 {
				name := fmt.Sprint("t", i)
				switch rapid.IntRange(0, 3).Draw(t, name) {
				case 0:
					list.Invalid[name] = "half written"
				case 1, 2:
					list.Titles = append(list.Titles, title(name))
				}
			}
			c.Update("catalogue", list, int64(step))
			after := c.InForce()
			left := 0
			for name := range maps.Keys(before) {
				if _, stays := after[name]; stays {
					continue
				}
				left++
				if _, invalid := list.Invalid[name]; invalid {
					t.Fatalf("%s left though its entry was only unreadable", name)
				}
			}
			if 2*left > len(before) {
				t.Fatalf("%d of %d titles left at once", left, len(before))
			}
			for _, listed := range list.Titles {
				if after[listed.Name].Fault != "" {
					t.Fatalf("%s is listed and has a fault", listed.Name)
				}
			}
		}
	})
}
