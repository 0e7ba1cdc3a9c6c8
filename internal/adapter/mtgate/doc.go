// Package mtgate takes calls from callers and leads each through reading, admission, sending and writing.
package mtgate
