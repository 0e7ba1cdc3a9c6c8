// Package mtsoak injects a schedule of faults into real gateways under load and checks their invariants meanwhile.
package mtsoak
