// Package mtfakeplatform is a stand-in for the platform: its log and its instance list.
package mtfakeplatform
