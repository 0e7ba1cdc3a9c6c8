// Package mtstrain notices that an instance lacks processor time.
package mtstrain
