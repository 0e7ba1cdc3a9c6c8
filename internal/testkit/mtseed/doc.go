// Package mtseed fixes the seed of property tests, so that every run checks the same cases. Tests import it for its
// side effect.
package mtseed
