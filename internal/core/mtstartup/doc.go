// Package mtstartup decides how long an instance that starts waits for the discovery of its peers before it takes a
// role.
package mtstartup
