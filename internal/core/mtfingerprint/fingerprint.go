package mtfingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net/http"
)

// Size is the length of a fingerprint in bytes.
const Size = 16

// credentialHeaders name the headers by which requests of different callers differ.
var credentialHeaders = []string{"Authorization", "Cookie"}

// Fingerprint is the same for requests with the same method, host, target, credentials and body. It does not depend on the
// address of the caller, who may come back from another one.
type Fingerprint [Size]byte

// Of returns the fingerprint of a request with a body.
func Of(request *http.Request, body []byte) Fingerprint {
	parts := []string{request.Method, request.Host, request.RequestURI}
	for _, name := range credentialHeaders {
		parts = append(parts, request.Header.Get(name))
	}
	hash := sha256.New()
	for _, part := range parts {
		// The lengths keep the boundaries between parts. Writing to a hash can't fail.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:Size])
}

// String returns the start of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string {
	const loggedBytes = 6
	return hex.EncodeToString(f[:loggedBytes])
}
