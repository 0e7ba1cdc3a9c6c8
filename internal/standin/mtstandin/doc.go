// Package mtstandin runs the stand-ins for the platform and the endpoints in one process.
package mtstandin
