// Package mtdispatch binds the waiting calls of one service to the free slots of its endpoints.
package mtdispatch
