// Package mtfleet starts gateways as processes of their own and sends them signals; it ends only what it has started.
package mtfleet
