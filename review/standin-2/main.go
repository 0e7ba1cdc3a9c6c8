// Command standin-2 plays the cases 6 to 10 of the review: it starts gateways with the command of the deploy file, stand-ins of
// the store and the targets, and clients, and checks one rule. It exits with 0 if the rule held, 1 if it was broken, and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	cases := map[string]func(w *world, hasTrouble bool) int{
		"answers": playAnswers,
		"behind":  playBehind,
		"drain":   playDrain,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD-FILE")
		os.Exit(cannotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	code := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.say("result: %s", []string{"the rule held", "the rule is broken", "the case could not run"}[code])
	w.close(os.Getenv("KEEP") != "")
	os.Exit(code)
}
