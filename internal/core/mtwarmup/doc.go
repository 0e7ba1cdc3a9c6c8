// Package mtwarmup holds until when one endpoint is cold, and bounds the requests that this instance sends to it meanwhile.
package mtwarmup
