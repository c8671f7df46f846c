package copies

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig() Config {
	return Config{MinCopies: 2, MaxConcurrent: 1, LinkShare: 0.2, DropGrace: 5 * time.Second,
		ProgressTimeout: 10 * time.Second, Backoff: time.Second}
}

// testFleet simulates boxes that carry out commands, with faults that tests inject.
type testFleet struct {
	manager     *Manager
	now         int64
	boxes       []Box
	disks       map[string]map[string]*Copy
	freeDisk    map[string]float64
	publishedAt map[Key]int64  // last time at which a key was published
	transfers   map[Key]string // source of each copy in progress
	drops       int
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{manager: New(testConfig()), now: 1_000_000, disks: map[string]map[string]*Copy{},
		freeDisk: map[string]float64{}, publishedAt: map[Key]int64{}, transfers: map[Key]string{}}
	for i := range n {
		id := fmt.Sprint("b", i)
		f.boxes = append(f.boxes, Box{ID: id, Ready: true, LinkCapacity: 1000, LinkLoad: float64(100 * i)})
		f.disks[id], f.freeDisk[id] = map[string]*Copy{}, 10_000
	}
	return f
}

// addCopies puts complete copies of a title on boxes.
func (f *testFleet) addCopies(title string, boxes ...string) {
	for _, b := range boxes {
		f.disks[b][title] = &Copy{Complete: true, Copied: 1000, Size: 1000}
	}
}

// reportAll passes the state of all boxes to the manager.
func (f *testFleet) reportAll() {
	f.manager.SetBoxes(f.boxes)
	for id, d := range f.disks {
		inventory := Inventory{FreeDisk: f.freeDisk[id], Copies: map[string]Copy{}}
		for t, c := range d {
			inventory.Copies[t] = *c
		}
		f.manager.HandleInventory(id, inventory, f.now)
	}
}

// step advances the time, transfers kb kB of each copy in progress, reports the inventories and returns the commands.
func (f *testFleet) step(ms int64, kb float64) []Command {
	f.now += ms
	for k, sourceBox := range f.transfers {
		c := f.disks[k.Box][k.Title]
		source := f.disks[sourceBox][k.Title]
		if c == nil || !c.InProgress {
			delete(f.transfers, k)
			continue
		}
		if source == nil || !source.Complete {
			c.InProgress, c.Error = false, "source gone"
			delete(f.transfers, k)
			continue
		}
		if c.Copied = min(c.Copied+kb, c.Size); c.Copied == c.Size {
			c.Complete, c.InProgress = true, false
			delete(f.transfers, k)
		}
	}
	f.reportAll()
	out := f.manager.NextCommands(f.now)
	for _, t := range []string{"t0", "t1", "t2"} {
		for _, b := range f.manager.Holders(t) {
			f.publishedAt[Key{t, b}] = f.now
		}
	}
	return out
}

// execute carries out a command and returns the box's answer.
func (f *testFleet) execute(command Command) Answer {
	k, disk := Key{command.Title, command.Box}, f.disks[command.Box]
	if command.Kind == Drop {
		if copied := disk[command.Title]; copied != nil && copied.Sessions > 0 {
			return InUse
		}
		delete(disk, command.Title)
		delete(f.transfers, k)
		f.drops++
		return Accepted
	}
	if disk[command.Title] == nil {
		if f.freeDisk[command.Box] < command.Size {
			return NoSpace
		}
		disk[command.Title] = &Copy{Size: command.Size}
	}
	disk[command.Title].InProgress, disk[command.Title].Error = true, ""
	f.transfers[k] = command.Source
	return Accepted
}

// run repeats step and carries out all commands.
func (f *testFleet) run(steps int, ms int64, kb float64) {
	for range steps {
		for _, c := range f.step(ms, kb) {
			f.manager.HandleAnswer(c, f.execute(c), f.now)
		}
	}
}

func (f *testFleet) checkHolders(t *testing.T, title string, want ...string) {
	t.Helper()
	if got := f.manager.Holders(title); !slices.Equal(got, want) {
		t.Errorf("holders %v, want %v", got, want)
	}
}

// addTestTitle adds t0 with its permanent copies on b0 and b1.
func addTestTitle(f *testFleet) {
	f.addCopies("t0", "b0", "b1")
	f.manager.SetTitle(Title{Name: "t0", Size: 1000, PermanentBoxes: []string{"b0", "b1"}})
	f.run(1, 100, 0)
}

// A copy is published as a holder once it is complete. When it is no longer wanted, it is withdrawn and then dropped
// after the grace period, but not while a session plays it.
func TestCopyIsPublishedAndDropped(t *testing.T) {
	f := newTestFleet(4)
	addTestTitle(f)
	f.manager.SetExtraCopies([]Key{{"t0", "b2"}})
	f.run(3, 1000, 400)
	f.checkHolders(t, "t0", "b0", "b1")
	f.run(2, 1000, 400)
	f.checkHolders(t, "t0", "b0", "b1", "b2")
	f.manager.SetExtraCopies(nil)
	f.run(1, 1000, 0)
	f.checkHolders(t, "t0", "b0", "b1")
	f.run(3, 1000, 0)
	if f.disks["b2"]["t0"] == nil {
		t.Error("dropped before the grace period was over")
	}
	f.disks["b2"]["t0"].Sessions = 1
	f.run(5, 1000, 0)
	if f.disks["b2"]["t0"] == nil {
		t.Error("dropped while a session plays")
	}
	f.disks["b2"]["t0"].Sessions = 0
	f.run(6, 1000, 0)
	if f.disks["b2"]["t0"] != nil || f.drops != 1 {
		t.Errorf("copy not dropped, or dropped %d times, want 1", f.drops)
	}
}

// Faults and changes during a transfer: failures of the source and the target, cancellation, draining, a planner with a
// higher epoch, and the removal of the title.
func TestCopyFailures(t *testing.T) {
	for name, c := range map[string]func(t *testing.T, f *testFleet){
		"source fails": func(t *testing.T, f *testFleet) {
			from := f.transfers[Key{"t0", "b2"}]
			f.boxes = slices.DeleteFunc(f.boxes, func(b Box) bool { return b.ID == from })
			delete(f.disks, from)
			f.run(20, 1000, 300)
			if !slices.Contains(f.manager.Holders("t0"), "b2") {
				t.Error("not copied from another source")
			}
		},
		"source stalls": func(t *testing.T, f *testFleet) {
			first := f.transfers[Key{"t0", "b2"}]
			f.run(13, 1000, 0)
			if now := f.transfers[Key{"t0", "b2"}]; now == first {
				t.Errorf("still copied from %s", now)
			}
		},
		"target fails at 99% and returns": func(t *testing.T, f *testFleet) {
			f.disks["b2"]["t0"].Copied = 990
			f.run(1, 100, 0)
			f.disks["b2"]["t0"].InProgress = false
			delete(f.transfers, Key{"t0", "b2"})
			f.run(5, 1000, 10)
			if !slices.Contains(f.manager.Holders("t0"), "b2") {
				t.Errorf("incomplete copy not fetched again: %+v", f.disks["b2"]["t0"])
			}
		},
		"target fails and peak is cancelled": func(t *testing.T, f *testFleet) {
			f.disks["b2"]["t0"].InProgress = false
			delete(f.transfers, Key{"t0", "b2"})
			f.manager.SetExtraCopies(nil)
			f.run(3, 1000, 0)
			if f.disks["b2"]["t0"] != nil {
				t.Error("an incomplete copy that is not wanted was not dropped")
			}
		},
		"cancelled during the transfer": func(t *testing.T, f *testFleet) {
			f.manager.SetExtraCopies(nil)
			f.run(2, 1000, 100)
			if f.disks["b2"]["t0"] != nil || f.manager.RunningJobs() != 0 {
				t.Error("copying continues after the cancellation")
			}
		},
		"target drains": func(t *testing.T, f *testFleet) {
			f.boxes[2].Ready = false
			f.run(8, 1000, 200)
			if len(f.manager.Holders("t0")) != 3 || f.manager.countReadyHolders("t0", "") != 2 {
				t.Errorf("holders %v", f.manager.Holders("t0"))
			}
		},
		"permanent holder fails while an extra copy is withdrawn": func(t *testing.T, f *testFleet) {
			f.run(6, 1000, 300)
			f.manager.SetExtraCopies(nil)
			f.run(2, 1000, 0)
			f.boxes = f.boxes[1:]
			delete(f.disks, "b0")
			f.run(12, 1000, 0)
			f.checkHolders(t, "t0", "b1", "b2")
		},
		"planner with a higher epoch": func(t *testing.T, f *testFleet) {
			f.manager.HandleAnswer(Command{Kind: Fetch, Title: "t0", Box: "b2"}, Superseded, f.now)
			f.manager.SetExtraCopies(nil)
			if got := f.step(1000, 0); got != nil || !f.manager.Superseded() {
				t.Errorf("commands of a superseded planner: %v", got)
			}
		},
		"title is removed": func(t *testing.T, f *testFleet) {
			f.run(6, 1000, 300)
			f.manager.RemoveTitle("t0", f.now)
			f.run(1, 100, 0)
			f.checkHolders(t, "t0")
			f.run(8, 1000, 0)
			for id, d := range f.disks {
				if d["t0"] != nil {
					t.Errorf("a copy remains on %s", id)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(4)
			addTestTitle(f)
			f.manager.SetExtraCopies([]Key{{"t0", "b2"}})
			f.run(2, 1000, 100)
			if f.manager.RunningJobs() != 1 {
				t.Fatalf("%d copies in progress, want 1", f.manager.RunningJobs())
			}
			c(t, f)
		})
	}
	overloaded := newTestFleet(4)
	overloaded.boxes[0].LinkLoad = 990
	addTestTitle(overloaded)
	overloaded.manager.SetExtraCopies([]Key{{"t0", "b2"}})
	overloaded.run(1, 100, 0)
	if from := overloaded.transfers[Key{"t0", "b2"}]; from != "b1" {
		t.Errorf("copied from %q, want b1: b0 is overloaded", from)
	}
	f := newTestFleet(3)
	addTestTitle(f)
	f.freeDisk["b2"] = 500
	f.manager.SetExtraCopies([]Key{{"t0", "b2"}})
	f.run(5, 1000, 100)
	if f.manager.RunningJobs() != 0 {
		t.Error("copied to a disk without enough space")
	}
	f.boxes = append(f.boxes, Box{ID: "new", Ready: true, LinkCapacity: 1000})
	f.manager.SetBoxes(f.boxes)
	if f.manager.AllReported() || f.manager.NextCommands(f.now) != nil {
		t.Error("commands issued before all boxes reported their inventories")
	}
}

// Guards against dropping copies that nothing can bring back: a title that is not known has not been removed, and one
// that was removed may be set again within a grace period.
func TestUnknownTitlesAreKept(t *testing.T) {
	f := newTestFleet(4)
	f.manager.RemovalGrace = time.Minute
	addTestTitle(f)
	f.addCopies("unknown", "b0", "b1")
	f.disks["b2"]["unknown"] = &Copy{Size: 1000, Copied: 500, InProgress: true} // somebody else copies it
	f.run(200, 1000, 0)
	f.manager.RemoveTitle("t0", f.now)
	f.run(58, 1000, 0)
	if f.drops > 0 {
		t.Fatalf("%d drops of a title that is not known, or within the grace period", f.drops)
	}
	addTestTitle(f)
	f.run(200, 1000, 0)
	f.checkHolders(t, "t0", "b0", "b1")
	if f.drops > 0 {
		t.Errorf("%d drops of a title that was set again", f.drops)
	}
	f.manager.RemoveTitle("t0", f.now)
	f.manager.RemoveTitle("unknown", f.now)
	f.run(70, 1000, 0)
	if f.drops != 5 {
		t.Errorf("%d drops, want those of 5 copies", f.drops)
	}
}

// Transfers whose command was carried out but whose answer was lost count towards MaxConcurrent. Otherwise each of them
// would let the box start one more copy.
func TestCopiesWithLostAnswersAreCounted(t *testing.T) {
	f := newTestFleet(5)
	var keys []Key
	for _, name := range []string{"t0", "t1", "t2", "t3"} {
		f.addCopies(name, "b1", "b2", "b3")
		f.manager.SetTitle(Title{Name: name, Size: 1000, PermanentBoxes: []string{"b1", "b2", "b3"}})
		keys = append(keys, Key{name, "b0"})
	}
	f.manager.SetExtraCopies(keys)
	for range 20 {
		for _, c := range f.step(1500, 1) {
			f.execute(c)
			f.manager.HandleAnswer(c, Failed, f.now)
		}
		if n := len(f.transfers); n > f.manager.MaxConcurrent {
			t.Fatalf("b0 receives %d copies at once", n)
		}
	}
	if len(f.transfers) == 0 {
		t.Error("no copy was started")
	}
}

// Under any sequence of events, only complete copies are published, and no copy is dropped that edges may still use,
// that a session plays, or without which the title has fewer than MinCopies. A box receives no more copies at once than
// allowed.
func TestCopyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(5)
		draw := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		title := func() string { return fmt.Sprint("t", draw(3, "title")) }
		for i := range 3 {
			boxes := []string{fmt.Sprint("b", i), fmt.Sprint("b", (i+1)%5), fmt.Sprint("b", (i+2)%5)}
			f.addCopies(fmt.Sprint("t", i), boxes...)
			f.manager.SetTitle(Title{Name: fmt.Sprint("t", i), Size: 1000, PermanentBoxes: boxes})
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch draw(9, "what") {
			case 0:
				var keys []Key
				for range draw(5, "keys") {
					keys = append(keys, Key{title(), fmt.Sprint("b", draw(5, "box"))})
				}
				f.manager.SetExtraCopies(keys)
			case 1:
				f.boxes[draw(len(f.boxes), "box")].Ready = draw(2, "ready") == 1
			case 2: // a box restarts: its transfers stop
				id := fmt.Sprint("b", draw(5, "box"))
				for k := range f.transfers {
					if k.Box == id {
						f.disks[id][k.Title].InProgress = false
						delete(f.transfers, k)
					}
				}
			case 3:
				disk := f.disks[fmt.Sprint("b", draw(5, "box"))]
				for _, name := range slices.Sorted(maps.Keys(disk)) {
					if c := disk[name]; c.Complete {
						c.Sessions = draw(2, "playing")
					}
				}
			case 4:
				f.freeDisk[fmt.Sprint("b", draw(5, "box"))] = float64(draw(3, "free") * 1000)
			case 6: // a title is not known for a while, as its entry in the catalogue cannot be read
				delete(f.manager.titles, title())
			case 5:
				t := title()
				b := []string{fmt.Sprint("b", draw(5, "box")), fmt.Sprint("b", draw(5, "box"))}
				slices.Sort(b)
				f.manager.SetTitle(Title{Name: t, Size: 1000, PermanentBoxes: slices.Compact(b)})
			}
			commands := f.step(int64(100+draw(4000, "ms")), float64(draw(800, "kb")))
			incoming, outgoing := map[string]int{}, map[string]int{}
			for k, src := range f.transfers {
				incoming[k.Box]++
				outgoing[src]++
			}
			for _, c := range commands {
				k := Key{c.Title, c.Box}
				x := f.disks[c.Box][c.Title]
				if c.Kind == Fetch {
					if x != nil && x.Complete || !f.disks[c.Source][c.Title].Complete {
						t.Fatalf("%+v: the copy is complete already, or the source has no complete copy", c)
					}
					if f.transfers[k] == "" {
						incoming[c.Box]++
					}
				} else if x.Complete {
					left := 0
					for _, b := range f.boxes {
						if o := f.disks[b.ID][c.Title]; b.ID != c.Box && b.Ready && o != nil && o.Complete {
							left++
						}
					}
					if x.Sessions > 0 ||
						f.now-f.publishedAt[k] < f.manager.DropGrace.Milliseconds() && f.publishedAt[k] > 0 ||
						left < f.manager.MinCopies {
						t.Fatalf("%+v: %d sessions, published %d ms ago, %d other copies left",
							c, x.Sessions, f.now-f.publishedAt[k], left)
					}
				}
				if draw(4, "lost") > 0 {
					f.manager.HandleAnswer(c, f.execute(c), f.now)
				} else if draw(2, "ran") == 0 {
					f.execute(c)
					f.manager.HandleAnswer(c, Failed, f.now)
				} else {
					f.manager.HandleAnswer(c, Failed, f.now)
				}
			}
			for id, n := range incoming {
				if n > f.manager.MaxConcurrent+1 { // a transfer whose answer was lost may run in addition
					t.Fatalf("%s receives %d copies at once", id, n)
				}
			}
			for _, name := range []string{"t0", "t1", "t2"} {
				for _, b := range f.manager.Holders(name) {
					if x := f.disks[b][name]; x == nil || !x.Complete {
						t.Fatalf("%s published on %s: %+v", name, b, x)
					}
				}
			}
		}
	})
}
