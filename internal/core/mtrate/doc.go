// Package mtrate measures how often something happens.
package mtrate
