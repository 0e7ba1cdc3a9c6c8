// Command mangotack-measure measures what the product costs on this machine; it writes a table, and JSON lines to a file.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/mangotack/mangotack/internal/standin/mtmeasure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "mangotack-measure:", err)
		os.Exit(1)
	}
}

// gcPercent keeps the collections of this process, which also holds callers and endpoints, from being measured.
const gcPercent = 800

func run() error {
	debug.SetGCPercent(gcPercent)
	figures, err := mtmeasure.Path(context.Background(), "bin")
	if err != nil {
		return err
	}
	figures = append(figures, mtmeasure.Keys()...)
	fleet, err := mtmeasure.Fleet(context.Background(), "bin")
	if err != nil {
		return err
	}
	figures = append(figures, fleet...)
	lines, err := os.Create("bin/measure.jsonl")
	if err != nil {
		return err
	}
	defer lines.Close()
	return mtmeasure.Print(figures, lines, os.Stdout)
}
