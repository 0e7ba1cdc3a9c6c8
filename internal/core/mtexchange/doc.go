// Package mtexchange defines the metadata that endpoints send with their answers.
package mtexchange
