// Package mtassignment assigns entry instances to services, from the membership view and the leaving marks.
package mtassignment
