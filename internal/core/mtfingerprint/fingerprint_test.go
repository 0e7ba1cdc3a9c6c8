package mtfingerprint

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOnlyEqualRequestsHaveTheSameFingerprint(t *testing.T) {
	first := Of([]string{"GET", "a.example", "/menu"}, []byte("body"))
	require.Equal(t, first, Of([]string{"GET", "a.example", "/menu"}, []byte("body")))
	for name, other := range map[string]Fingerprint{
		"part":                      Of([]string{"GET", "b.example", "/menu"}, []byte("body")),
		"body":                      Of([]string{"GET", "a.example", "/menu"}, []byte("other")),
		"boundary of parts":         Of([]string{"GET", "a.example/", "menu"}, []byte("body")),
		"boundary to the body":      Of([]string{"GET", "a.example", "/men"}, []byte("ubody")),
		"part without a body":       Of([]string{"GET", "a.example", "/menu", "body"}, nil),
		"order of parts":            Of([]string{"a.example", "GET", "/menu"}, []byte("body")),
		"a part that is empty more": Of([]string{"GET", "a.example", "/menu", ""}, []byte("body")),
	} {
		require.NotEqual(t, first, other, name)
	}
	require.Len(t, first.String(), 12)
}
