// Package mtharness runs the call path of entry instances in memory, so that tests can bring about failures in virtual time.
package mtharness
