// Package mthelper remembers what helpers have done with requests that were passed on to them, and chooses among them.
package mthelper
