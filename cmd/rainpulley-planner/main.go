// Command rainpulley-planner monitors the fleet and publishes the view that edges follow.
package main

import (
	"github.com/alecthomas/kong"

	"rainpulley/internal/cli"
)

func main() {
	var c cli.Planner
	k := kong.Parse(&c, kong.Name("rainpulley-planner"), kong.Description("Monitors the fleet and publishes its view."))
	k.FatalIfErrorf(c.Run())
}
