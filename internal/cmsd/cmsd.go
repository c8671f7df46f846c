// Package cmsd reads a box's load from the CMSD-Dynamic response header (CTA-5006): keys of the project's
// own, as the standard allows with a reverse domain name.
package cmsd

import (
	"strconv"
	"strings"
)

// Names of the keys.
const (
	KeyStreams = "example.rainpulley-streams" // that it runs or sets up
	KeyLink    = "example.rainpulley-link"    // asked of its link over what it gives
	KeyUplink  = "example.rainpulley-uplink"  // the same for its rack's uplink
)

// Load is what a header told; nil fields were not told.
type Load struct{ Streams, LinkUtilization, UplinkUtilization *float64 }

// Parse reads a header. Values that make no sense count as not told; nil if nothing was.
func Parse(header []byte) *Load {
	l, any := &Load{}, false
	for _, part := range strings.Split(string(header), ";") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) || n > 1e6 {
			continue
		}
		switch k {
		case KeyStreams:
			l.Streams = &n
		case KeyLink:
			l.LinkUtilization = &n
		case KeyUplink:
			l.UplinkUtilization = &n
		default:
			continue
		}
		any = true
	}
	if !any {
		return nil
	}
	return l
}
