package mttenant

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Credential is what a request states about its tenant. The zero value states nothing.
type Credential struct {
	hash    keyHash
	hasHash bool
	// tenant is the name of the tenant that another instance has found, if that instance has not sent the hash.
	tenant string
}

// NewCredential returns the credential of a request with these values of the header that carries the key. Only a single
// value that is not empty is a key.
func NewCredential(values []string) Credential {
	if len(values) != 1 || values[0] == "" {
		return Credential{}
	}
	return Credential{
		hash:    sha256.Sum256([]byte(values[0])),
		hasHash: true,
	}
}

// NewRelayedCredential returns the credential of a request that another instance has passed on: the name of its tenant,
// which is empty if it has none, and the Digest of its credential there, which is empty if that is not known.
func NewRelayedCredential(tenant, digest string) Credential {
	credential := Credential{
		tenant: tenant,
	}
	hash, err := hex.DecodeString(digest)
	if err == nil && len(hash) == len(credential.hash) {
		credential.hash = keyHash(hash)
		credential.hasHash = true
	}
	return credential
}

// Digest returns the hash of the key in hexadecimal, or an empty text.
func (c Credential) Digest() string {
	if !c.hasHash {
		return ""
	}
	return hex.EncodeToString(c.hash[:])
}

func (c Credential) isEmpty() bool {
	return !c.hasHash && c.tenant == ""
}

func (d *Directory) find(credential Credential) *Tenant {
	if credential.hasHash {
		return d.byKeyHash[credential.hash]
	}
	return d.byName[credential.tenant]
}

// Feed is what an instance knows about news of its configuration.
type Feed struct {
	// Age is how long ago the configuration was known to be the newest, and Bound the age from which on it is old.
	Age   time.Duration
	Bound time.Duration
	// IsBehind is set if another instance has a later configuration in force, or the age is not reliable.
	IsBehind bool
	// ExpectedAt is when news are expected.
	ExpectedAt time.Time
}

// Verdict is the result of an authorization.
type Verdict int

// The verdicts.
const (
	// Admitted means that the request may run.
	Admitted Verdict = iota
	// Unauthorized means that no configuration that may be in force admits the request.
	Unauthorized
	// Undecided means that a configuration which has not arrived here yet may admit the request.
	Undecided
)

// Decision is the verdict about a request.
type Decision struct {
	Verdict Verdict
	// Tenant is the tenant of a request that is admitted, or nil if it has none.
	Tenant *Tenant
	// RetryAfter is the time until news are expected, if the request is undecided.
	RetryAfter time.Duration
}

// Authorize decides whether a request may run under the tenants of a configuration; directory is nil if the configuration
// has none. The state of the feed is read only if the credential is unknown.
func Authorize(
	directory *Directory, credential Credential, allowsAnonymous bool, readFeed func(now time.Time) Feed, now time.Time,
) Decision {
	if directory == nil {
		return Decision{}
	}
	if tenant := directory.find(credential); tenant != nil {
		return Decision{
			Tenant: tenant,
		}
	}
	if allowsAnonymous {
		return Decision{}
	}
	if credential.isEmpty() {
		return Decision{
			Verdict: Unauthorized,
		}
	}
	feed := readFeed(now)
	if feed.Age <= feed.Bound && !feed.IsBehind {
		return Decision{
			Verdict: Unauthorized,
		}
	}
	return Decision{
		Verdict:    Undecided,
		RetryAfter: max(minRetryAfter, feed.ExpectedAt.Sub(now)),
	}
}

// minRetryAfter is the shortest time after which a caller is told to return: a read of the store and its way here take
// that long.
const minRetryAfter = 100 * time.Millisecond
