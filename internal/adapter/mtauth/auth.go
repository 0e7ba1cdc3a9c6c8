package mtauth

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/mangotack/mangotack/internal/core/mtrules"
)

// Bearer returns the bearer token of a request.
func Bearer(header http.Header) (token string, found bool) {
	scheme, token, found := strings.Cut(header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	return token, true
}

// SetBearer states a bearer token in a request.
func SetBearer(header http.Header, token string) {
	header.Set("Authorization", "Bearer "+token)
}

// IsOneOf reports whether the hash of the request's token is in a list; its time does not depend on the token.
func IsOneOf(header http.Header, hashes []string) bool {
	token, found := Bearer(header)
	if !found {
		return false
	}
	hash := []byte(mtrules.HashToken(token))
	equal := 0
	for _, allowed := range hashes {
		equal |= subtle.ConstantTimeCompare(hash, []byte(allowed))
	}
	return equal == 1
}
