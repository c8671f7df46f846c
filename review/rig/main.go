package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Processes are started from the main thread alone: they are ended with the thread that started them.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) < 2 {
		cannotRun("no command")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(115*time.Second, func() { cannotRun("the case took over 115 s") })
	switch os.Args[1] {
	case "server":
		runServer(os.Args[2:])
	case "restart":
		serverRestart(openRecord(os.Args[2]), trouble)
	case "slowlist":
		slowList(openRecord(os.Args[2]), trouble)
	case "drain":
		plannerRestart(openRecord(os.Args[2]), trouble)
	case "reload":
		plannerReload(openRecord(os.Args[2]), trouble)
	case "seats":
		edgeRestart(openRecord(os.Args[2]), trouble)
	default:
		cannotRun("no command %q", os.Args[1])
	}
}

// verdict ends the case.
func verdict(rec *record, broken []string) {
	for _, b := range broken {
		rec.add("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		exit(1)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	exit(0)
}
