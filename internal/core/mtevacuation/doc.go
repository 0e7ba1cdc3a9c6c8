// Package mtevacuation holds which zones are evacuated, so that their endpoints get nothing more.
package mtevacuation
