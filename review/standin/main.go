// Command standin plays one case of the review against the project's own gateways.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxRunTime ends a case that hangs.
const maxRunTime = 115 * time.Second

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"memory":   memoryCase,
	"pipeline": pipelineCase,
	"interim":  interimCase,
	"linger":   lingerCase,
	"refused":  refusedCase,
	"history":  historyCase,
	"rest":     restCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
	time.AfterFunc(maxRunTime, func() {
		w.log("the case takes too long")
		w.close()
		os.Exit(2)
	})
	broken, err := cases[os.Args[1]](w)
	status := 0
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		status = 2
	case broken:
		w.log("verdict  the rule is broken")
		fmt.Println("the rule is broken")
		status = 1
	default:
		w.log("verdict  the rule holds")
		fmt.Println("the rule holds")
	}
	w.close()
	os.Exit(status)
}
