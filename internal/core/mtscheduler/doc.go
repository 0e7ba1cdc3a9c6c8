// Package mtscheduler decides which requests of a service wait, which are rejected, and which endpoint gets each.
package mtscheduler
