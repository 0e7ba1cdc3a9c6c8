// Command mangotack-soak plays faults against real gateways and checks what they promise.
package main

import (
	"os"

	"github.com/mangotack/mangotack/internal/soak/mtsoakverb"
)

func main() {
	os.Exit(mtsoakverb.Run(os.Args[1:], os.Stdout, os.Stderr))
}
