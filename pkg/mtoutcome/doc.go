// Package mtoutcome defines the outcomes of a call, which state whether it ran, and the headers of a refusal.
package mtoutcome
