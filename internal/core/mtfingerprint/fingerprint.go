package mtfingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Size is the length of a fingerprint in bytes.
const Size = 16

// Fingerprint is the same for equal requests.
type Fingerprint [Size]byte

// Of returns the fingerprint of a request with a body. Parts are the other properties by which requests differ, in a fixed
// order; a body in several pieces has the same fingerprint as in one.
func Of(parts []string, body ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		// The lengths keep the boundaries between parts. Writing to a hash can't fail.
		_, _ = hash.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = io.WriteString(hash, part)
	}
	for _, piece := range body {
		_, _ = hash.Write(piece)
	}
	return Fingerprint(hash.Sum(nil)[:Size])
}

// String returns the start of the fingerprint in hexadecimal, for logs.
func (f Fingerprint) String() string {
	const loggedBytes = 6
	return hex.EncodeToString(f[:loggedBytes])
}
