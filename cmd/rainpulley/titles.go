package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"rainpulley/internal/planner"
)

type titlesCmd struct {
	Planner        string `help:"Planner's host:port." required:""`
	JSON           bool   `help:"Print the planner's answer as JSON."`
	AcceptRemovals bool   `help:"Carry out the removals that the planner holds, as a list lacked most titles at once."`
}

// Run prints the titles in force with their source, or accepts the removals that are held.
func (c *titlesCmd) Run() error {
	method, path := "GET", "/v1/titles"
	if c.AcceptRemovals {
		method, path = "POST", "/v1/titles/accept-removals"
	}
	request, err := http.NewRequest(method, "http://"+c.Planner+path, nil)
	if err != nil {
		return err
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("planner answered %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	if c.JSON || c.AcceptRemovals {
		_, err = os.Stdout.Write(body)
		return err
	}
	return printTitles(body)
}

// printTitles prints the planner's list as a table.
func printTitles(body []byte) error {
	var list struct {
		Titles []planner.TitleStatus `json:"titles"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return fmt.Errorf("planner's answer: %w", err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "title\tsource\tholders\tfault\tfor")
	for _, t := range list.Titles {
		holders, age := fmt.Sprint(t.Holders), ""
		if t.Holders < 0 {
			holders = "cells"
		}
		if t.Fault != "" {
			age = (time.Duration(t.FaultMs) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", t.Name, t.Source, holders, t.Fault, age)
	}
	return w.Flush()
}
