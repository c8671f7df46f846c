// Package cmsd reads the load of a box from the CMSD-Dynamic response header (CTA-5006). It uses custom keys, which
// the standard allows with a reverse domain name as prefix.
package cmsd

import (
	"strconv"
	"strings"
)

// Custom keys of the CMSD-Dynamic header.
const (
	KeyStreams = "example.rainpulley-streams" // number of streams that run or are being set up
	KeyLink    = "example.rainpulley-link"    // demand on the box's link divided by its capacity
	KeyUplink  = "example.rainpulley-uplink"  // demand on the uplink of its rack divided by its capacity
)

// Load holds the values of a header; a nil field was absent or invalid.
type Load struct{ Streams, LinkUtilization, UplinkUtilization *float64 }

// Parse parses a header. It ignores invalid values, and returns nil if there is no valid one.
func Parse(header []byte) *Load {
	load, found := &Load{}, false
	for _, part := range strings.Split(string(header), ";") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0) || value > 1e6 {
			continue
		}
		switch key {
		case KeyStreams:
			load.Streams = &value
		case KeyLink:
			load.LinkUtilization = &value
		case KeyUplink:
			load.UplinkUtilization = &value
		default:
			continue
		}
		found = true
	}
	if !found {
		return nil
	}
	return load
}
