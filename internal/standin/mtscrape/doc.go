// Package mtscrape reads the metrics of entry instances.
package mtscrape
