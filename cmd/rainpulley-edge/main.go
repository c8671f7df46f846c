// Command rainpulley-edge answers viewers: of HLS, or as a front node of the platform.
package main

import (
	"github.com/alecthomas/kong"

	"rainpulley/internal/cli"
)

func main() {
	var c struct {
		Serve cli.Edge `cmd:"" default:"withargs" help:"Answer viewers of HLS (the default)."`
		Node  cli.Node `cmd:"" help:"Run as a front node of the platform, by NODE_CONFIG."`
	}
	k := kong.Parse(&c, kong.Name("rainpulley-edge"), kong.Description("Session front: answers viewers."))
	k.FatalIfErrorf(k.Run())
}
