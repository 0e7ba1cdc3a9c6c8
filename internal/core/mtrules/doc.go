// Package mtrules indexes the current contracts, approvals, services and leaving marks for the checks of calls.
package mtrules
