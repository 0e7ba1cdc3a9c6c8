// Package mtcrew chooses the entry instances that carry a service and the lead of each endpoint.
package mtcrew
