// Package mtsink writes log lines without blocking the goroutine that logs.
package mtsink
