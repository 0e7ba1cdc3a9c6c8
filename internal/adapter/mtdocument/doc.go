// Package mtdocument reads and validates the JSON documents of operators: settings, bundles of records and settings of
// the stand-in.
package mtdocument
