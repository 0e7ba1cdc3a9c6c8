// Command mangotack-soak injects faults into gateway processes and checks that they keep their guarantees.
package main

import (
	"os"

	"github.com/mangotack/mangotack/internal/soak/mtsoakverb"
)

func main() {
	os.Exit(mtsoakverb.Run(os.Args[1:], os.Stdout, os.Stderr))
}
