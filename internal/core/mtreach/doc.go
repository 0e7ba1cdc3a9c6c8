// Package mtreach decides whether an instance is partitioned from the endpoints of a service.
package mtreach
