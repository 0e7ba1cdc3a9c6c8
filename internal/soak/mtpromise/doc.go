// Package mtpromise checks what callers and endpoints see against what the gateway promises.
package mtpromise
