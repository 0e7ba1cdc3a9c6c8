// Package mtpatience estimates how long a caller has been waiting from the time that it is willing to wait on.
package mtpatience
