// Command rainpulley-edge answers viewers, either as an edge for HLS or as a front node of the platform.
package main

import (
	"github.com/alecthomas/kong"

	"rainpulley/internal/cli"
)

func main() {
	var c struct {
		Serve cli.Edge `cmd:"" default:"withargs" help:"Answer viewers of HLS (the default)."`
		Node  cli.Node `cmd:"" help:"Run as a front node of the platform, with the configuration that NODE_CONFIG names."`
	}
	k := kong.Parse(&c, kong.Name("rainpulley-edge"), kong.Description("Places viewers' sessions on streaming servers."))
	k.FatalIfErrorf(k.Run())
}
