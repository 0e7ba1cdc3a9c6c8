// Command mangotack-standin stands in for the platform, the endpoints and the callers.
package main

import (
	"os"

	"github.com/mangotack/mangotack/internal/standin/mtstandinverb"
)

func main() {
	os.Exit(mtstandinverb.Run(os.Args[1:], os.Stdout, os.Stderr))
}
