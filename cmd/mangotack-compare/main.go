// Command mangotack-compare plays the same days of the users' benchmark on two revisions and prints the differences.
package main

import (
	"fmt"
	"os"

	"github.com/mangotack/mangotack/internal/standin/mtcompare"
)

func main() {
	if err := mtcompare.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "mangotack-compare:", err)
		os.Exit(1)
	}
}
