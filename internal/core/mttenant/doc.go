// Package mttenant finds the tenant to whom an API key belongs.
package mttenant
