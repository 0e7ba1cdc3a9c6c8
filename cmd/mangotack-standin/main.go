// Command mangotack-standin simulates the platform, the endpoints and the callers for tests and demonstrations.
package main

import (
	"os"

	"github.com/mangotack/mangotack/internal/standin/mtstandinverb"
)

func main() {
	os.Exit(mtstandinverb.Run(os.Args[1:], os.Stdout, os.Stderr))
}
