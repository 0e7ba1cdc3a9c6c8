// Package mtcaller is the client library for calling services through mangotack. It resolves which entry instances to
// use, caches them, fails over between them and prevents calls that must run at most once from running twice.
package mtcaller
