// Package mtcompare compares two revisions by the same days of the users' benchmark, pair by pair, so that differences
// below the noise of a single score can be seen.
package mtcompare
