package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestServe(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader("{\"wall\":1,\"seq\":4,\"happened\":[]}\n"), &out); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); got != "{\"seq\":4,\"outbox\":[]}\n" {
		t.Errorf("reply %q", got)
	}
}

func TestServeStopsOnMalformedLine(t *testing.T) {
	var out bytes.Buffer
	err := serve(strings.NewReader("{\"wall\":1,\"seq\":4,\"happened\":[]}\nnonsense\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "malformed batch") {
		t.Errorf("error %v", err)
	}
	if bytes.Count(out.Bytes(), []byte("\n")) != 1 {
		t.Errorf("output has more than the reply: %q", out.String())
	}
}
