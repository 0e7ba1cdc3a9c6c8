// Package mtcaller lets callers reach services through mangotack: it asks which entry instances to use, holds the answer,
// fails over and keeps calls that must run at most once from running twice.
package mtcaller
