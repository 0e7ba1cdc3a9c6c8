// Package mtsoakverb is the command line of the fault soak.
package mtsoakverb
