// Package mtsender sends calls to endpoints, with retries and hedges for those that may run more than once.
package mtsender
