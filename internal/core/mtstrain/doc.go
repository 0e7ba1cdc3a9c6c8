// Package mtstrain detects that an instance is short of processor time.
package mtstrain
