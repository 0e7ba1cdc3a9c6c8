// Package mtclaims folds the claims on the platform's log into the first claim of each key.
package mtclaims
