// Package mtoutcome names what can have become of a call.
package mtoutcome
