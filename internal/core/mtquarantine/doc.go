// Package mtquarantine decides which requests may be sent although endpoints have crashed under equal ones.
package mtquarantine
