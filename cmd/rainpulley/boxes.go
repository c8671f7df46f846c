package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"rainpulley/internal/planner"
)

type boxesCmd struct {
	Planner string `help:"Planner's host:port." required:""`
	JSON    bool   `help:"Print the planner's answer as JSON."`
}

// Run prints the state of each box, the source that reported it, its age and the reason.
func (c *boxesCmd) Run() error {
	response, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + c.Planner + "/v1/boxes")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var list struct {
		Boxes []planner.BoxStatus `json:"boxes"`
	}
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil || response.StatusCode != 200 {
		return fmt.Errorf("planner answered %d: %w", response.StatusCode, err)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "box\tstate\tsource\tage\treason")
	for _, b := range list.Boxes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\n", b.ID, b.State, b.Source, time.Duration(b.AgeMs)*time.Millisecond, b.Reason)
	}
	return w.Flush()
}
