// Package mtclaimer claims keys on the platform's log for calls that come without a ticket.
package mtclaimer
