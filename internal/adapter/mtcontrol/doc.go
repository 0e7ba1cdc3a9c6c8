// Package mtcontrol implements the OperatorService for operators and the owners of services.
package mtcontrol
