package mtauth

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/mangotack/mangotack/internal/core/mtrules"
)

// BearerToken returns the bearer token of a request; found is false when there is none.
func BearerToken(header http.Header) (token string, found bool) {
	scheme, token, found := strings.Cut(header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	return token, true
}

// SetBearerToken sets the Authorization header of a request to a bearer token.
func SetBearerToken(header http.Header, token string) {
	header.Set("Authorization", "Bearer "+token)
}

// HasAllowedToken reports whether the request has a bearer token whose hash is one of hashes. The comparison takes constant
// time, so it doesn't leak how much of a hash matches.
func HasAllowedToken(header http.Header, hashes []string) bool {
	token, found := BearerToken(header)
	if !found {
		return false
	}
	hash := []byte(mtrules.HashToken(token))
	matched := 0
	for _, allowedHash := range hashes {
		matched |= subtle.ConstantTimeCompare(hash, []byte(allowedHash))
	}
	return matched == 1
}
