// Package mtgate is the HTTP handler for calls: it reads, admits, sends and answers each call.
package mtgate
