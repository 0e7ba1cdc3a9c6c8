// Package mtanswer interprets the response of an endpoint to one attempt.
package mtanswer
