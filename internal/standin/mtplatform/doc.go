// Package mtplatform is a stand-in for the platform's log and instance list.
package mtplatform
