// Package mtsteer chooses which entry instances callers are sent to and which ones read the platform's store.
package mtsteer
