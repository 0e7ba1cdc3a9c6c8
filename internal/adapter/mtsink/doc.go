// Package mtsink writes log lines without ever holding back the goroutine that logs.
package mtsink
