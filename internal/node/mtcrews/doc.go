// Package mtcrews derives the crews of services from the members and the marks.
package mtcrews
