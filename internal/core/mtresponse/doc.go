// Package mtresponse defines the metadata that endpoints send with their answers.
package mtresponse
