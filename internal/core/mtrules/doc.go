// Package mtrules holds the contracts, approvals, services and marks in force in the form in which calls look them up.
package mtrules
