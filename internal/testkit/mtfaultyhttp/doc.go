// Package mtfaultyhttp provides endpoints that violate HTTP, for tests of how the product handles them.
package mtfaultyhttp
