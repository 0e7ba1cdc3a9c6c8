// Package mtcontrol serves operators and the owners of services.
package mtcontrol
