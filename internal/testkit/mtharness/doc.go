// Package mtharness runs the call path of entry instances in memory, so that tests can inject failures in virtual time.
package mtharness
