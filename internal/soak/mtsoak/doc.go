// Package mtsoak plays a schedule of faults against real gateways and checks the promises while it runs.
package mtsoak
