// Package mtacceptance evaluates a load run against the guarantees of the product.
package mtacceptance
