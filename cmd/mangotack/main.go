// Command mangotack runs an entry instance, or one of the operators' subcommands.
package main

import (
	"os"

	"github.com/mangotack/mangotack/internal/verb/mtverb"
)

func main() {
	os.Exit(mtverb.Run(os.Args[1:], os.Stdout, os.Stderr))
}
