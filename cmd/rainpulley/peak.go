package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"rainpulley/internal/peaks"
	"rainpulley/internal/planner"
)

type peakCmd struct {
	Planner string `help:"Planner's host:port." default:"127.0.0.1:9090"`

	Add    peakAdd    `cmd:"" help:"Announce a peak, or change one with a higher version."`
	List   peakList   `cmd:"" help:"List announced peaks."`
	Show   peakShow   `cmd:"" help:"Show one peak and the capacity held for it."`
	Cancel peakCancel `cmd:"" help:"Cancel a peak and release the capacity held for it."`
}

// call sends a request to the planner. An answer with a status other than 2xx is an error with the answer's text.
func (c *peakCmd) call(method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+c.Planner+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, 64<<20))
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("planner: %s", strings.TrimSpace(string(text)))
	}
	return response.StatusCode, text, err
}

type peakAdd struct {
	ID        string        `arg:"" optional:"" help:"Name of the peak."`
	File      string        `help:"Jsonnet file with a list of announcements under 'peaks', used in place of the other flags." type:"existingfile"`
	Version   uint64        `help:"A higher version replaces a lower one." default:"1"`
	Titles    []string      `help:"Titles, separated by commas."`
	Class     string        `help:"Class of the sessions."`
	Zone      string        `help:"Zone of the viewers; by default all zones."`
	Start     time.Time     `help:"Start of the peak (RFC 3339)." format:"2006-01-02T15:04:05Z07:00"`
	Uncertain time.Duration `help:"The start may be earlier or later by up to this time."`
	Rate      float64       `help:"New sessions per second."`
	Length    time.Duration `help:"How long new sessions arrive."`
	Session   time.Duration `help:"How long each session plays; by default the title's length."`
	Worth     float64       `help:"Worth of one second at a rung of worth 1; by default that of the class."`
}

// Run announces the peak, or all peaks of a file.
func (a *peakAdd) Run(c *tool) error {
	list := []peaks.Announcement{{ID: a.ID, Version: a.Version, Titles: a.Titles, Class: a.Class, Zone: a.Zone,
		Start: a.Start.UnixMilli(), Uncertainty: a.Uncertain.Milliseconds(), Rate: a.Rate, Duration: a.Length.Milliseconds(),
		SessionDuration: a.Session.Milliseconds(), Worth: a.Worth}}
	if a.File != "" {
		var err error
		if list, err = planner.ReadAnnouncements(a.File); err != nil {
			return err
		}
	}
	for _, p := range list {
		body, err := json.Marshal(p)
		if err != nil {
			return err
		}
		code, _, err := c.Peak.call("PUT", "/v1/peaks/"+url.PathEscape(p.ID), body)
		if err != nil {
			return fmt.Errorf("%s: %w", p.ID, err)
		}
		status := "announced"
		if code == http.StatusNoContent {
			status = "unchanged"
		}
		fmt.Printf("%s version %d: %s\n", p.ID, p.Version, status)
	}
	return nil
}

// peakStatus is the planner's answer with all peaks, the holds and the plan.
type peakStatus struct {
	Peaks []peaks.Announcement
	Holds []peaks.Hold
	Plan  struct {
		By     string
		Value  float64
		TookMs float64 `json:"took_ms"`
	}
}

// fetchStatus reads the status of all peaks from the planner.
func (c *peakCmd) fetchStatus() (b peakStatus, err error) {
	_, text, err := c.call("GET", "/v1/peaks", nil)
	if err == nil {
		err = json.Unmarshal(text, &b)
	}
	return b, err
}

type peakList struct{}

// Run prints a table of all peaks with the sum of what is held for each.
func (*peakList) Run(c *tool) error {
	b, err := c.Peak.fetchStatus()
	if err != nil {
		return err
	}
	held := map[string]peaks.Hold{}
	for _, h := range b.Holds {
		total := held[h.Peak]
		total.Rate, total.Streams = total.Rate+h.Rate, total.Streams+h.Streams
		held[h.Peak] = total
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "peak\tversion\tclass\ttitles\tstart\trate/s\tlength\theld kB/s\theld sessions")
	for _, p := range b.Peaks {
		start := time.UnixMilli(p.Start).Format(time.RFC3339)
		if p.Cancelled {
			start = "cancelled"
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%g\t%v\t%.0f\t%.1f\n", p.ID, p.Version, p.Class, len(p.Titles), start, p.Rate,
			time.Duration(p.Duration)*time.Millisecond, held[p.ID].Rate, held[p.ID].Streams)
	}
	return w.Flush()
}

type peakShow struct {
	ID string `arg:"" help:"Name of the peak."`
}

// Run prints one peak and its holds.
func (s *peakShow) Run(c *tool) error {
	b, err := c.Peak.fetchStatus()
	if err != nil {
		return err
	}
	for _, p := range b.Peaks {
		if p.ID != s.ID {
			continue
		}
		text, err := json.MarshalIndent(p, "", "  ")
		if err != nil {
			return err
		}
		fmt.Printf("%s\nplanned by %s in %.1f ms\n", text, b.Plan.By, b.Plan.TookMs)
		for _, h := range b.Holds {
			if h.Peak == s.ID {
				fmt.Printf("%-21s %-16s %8.0f kB/s %6.1f sessions\n", h.Box, h.Title, h.Rate, h.Streams)
			}
		}
		return nil
	}
	return fmt.Errorf("no peak %q", s.ID)
}

type peakCancel struct {
	ID string `arg:"" help:"Name of the peak."`
}

// Run cancels the peak.
func (s *peakCancel) Run(c *tool) error {
	code, _, err := c.Peak.call("DELETE", "/v1/peaks/"+url.PathEscape(s.ID), nil)
	if err != nil {
		return err
	}
	if code == http.StatusNoContent {
		fmt.Printf("%s was already cancelled\n", s.ID)
		return nil
	}
	fmt.Printf("%s cancelled\n", s.ID)
	return nil
}
