// Package mtbody keeps the body of a call so that it can be sent again.
package mtbody
