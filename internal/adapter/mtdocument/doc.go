// Package mtdocument reads the JSON documents of operators: settings, bundles of records and settings of the stand-in.
package mtdocument
