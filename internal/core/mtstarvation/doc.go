// Package mtstarvation detects that an instance is short of processor time.
package mtstarvation
