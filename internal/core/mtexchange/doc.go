// Package mtexchange names what calls and answers state about themselves beside their bytes.
package mtexchange
