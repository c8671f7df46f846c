// Command rig2 plays the cases of the second review: rig2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held,
// and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*rig) int{
	"half-written":   halfWritten,
	"lost-peak":      lostPeak,
	"revived-box":    revivedBox,
	"hangup":         hangup,
	"descriptors":    descriptors,
	"replaced-boxes": replacedBoxes,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig2 CASE FOLDER")
		os.Exit(noRun)
	}
	os.Exit(newRig(os.Args[2]).run(cases[os.Args[1]]))
}
