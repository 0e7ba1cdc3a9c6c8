// The default action of SIGHUP ends the process. The package imports little, so that it is initialised before most others:
// Go initialises packages in the order of their import paths, each as soon as its imports are. What remains is the time
// from the start of the program until the runtime, os and os/signal are initialised.

package mthangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// gatewayCommand is the subcommand that reloads its settings at SIGHUP. SIGHUP ends the others, as users of a terminal
// expect.
const gatewayCommand = "gateway"

var signals = make(chan os.Signal, 1)

func init() {
	if slices.Contains(os.Args[1:], gatewayCommand) {
		signal.Notify(signals, syscall.SIGHUP)
	}
}

// Signals returns the channel that receives SIGHUP; one signal is kept until it is read.
func Signals() <-chan os.Signal {
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}
