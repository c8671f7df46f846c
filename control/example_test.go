package control_test

import (
	"fmt"
	"time"

	"rainpulley/control"
)

// Example shows a front: it creates one controller, passes its observations in as events and carries out the returned
// actions.
func Example() {
	c, err := control.New(control.Settings{
		Ladder: []float64{300, 700}, RungWorth: []float64{0.5, 1},
		StreamSlotsByKind: []int{40}, TotalLinkRate: 20000, ReportMode: control.ReportsInAnswers,
		Classes: []control.Class{{Name: "clip", Worth: 1, MaxRung: 1, Deadline: 4 * time.Second}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	c.Step(now, []control.Event{control.ListUpdate{Whole: true, Servers: []control.Server{
		{ID: "box-1", State: control.Ready}, {ID: "box-2", State: control.Draining},
	}}})
	for _, action := range c.Step(now, []control.Event{
		control.Request{ID: "v1", BestRung: 1, GiveUpAt: now + 4*time.Second},
	}) {
		fmt.Printf("%T %+v\n", action, action)
	}
	// Output:
	// control.SetRung {ID:v1 Rung:1}
	// control.Send {ID:v1 Server:box-1 Timeout:4s}
}
