// Package mtstory merges the logs of several instances into the story of one request, or into one time line.
package mtstory
