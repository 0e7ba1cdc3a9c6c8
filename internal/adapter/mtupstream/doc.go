// Package mtupstream sends requests to endpoints over connections that it keeps, and asks endpoints for their load.
package mtupstream
