// Package mtbucket limits the rate of calls with a token bucket, and the number of concurrent calls.
package mtbucket
