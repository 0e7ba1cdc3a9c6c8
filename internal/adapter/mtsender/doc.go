// Package mtsender sends calls to endpoints, with retries and hedges for idempotent calls.
package mtsender
