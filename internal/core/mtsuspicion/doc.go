// Package mtsuspicion collects the evidence that a request crashes the endpoints that run it.
package mtsuspicion
