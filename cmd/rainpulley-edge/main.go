// Command rainpulley-edge answers viewers.
package main

import (
	"github.com/alecthomas/kong"

	"rainpulley/internal/cli"
)

func main() {
	var c cli.Edge
	k := kong.Parse(&c, kong.Name("rainpulley-edge"), kong.Description("Session front for HLS: answers viewers."))
	k.FatalIfErrorf(c.Run())
}
