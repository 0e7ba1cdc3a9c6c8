package mtroute

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRevisionsAreReplacedByHigherVersionsAndByConflictsOfALaterEra(t *testing.T) {
	inForce := Revision{Version: 3, Era: 1, Digest: [32]byte{1}}
	for name, c := range map[string]struct {
		next       Revision
		replaces   bool
		isConflict bool
	}{
		"higher version":                   {Revision{Version: 4, Era: 1}, true, false},
		"lower version of a later era":     {Revision{Version: 2, Era: 2}, false, false},
		"same content of a later era":      {Revision{Version: 3, Era: 2, Digest: [32]byte{1}}, false, false},
		"other content of a later era":     {Revision{Version: 3, Era: 2, Digest: [32]byte{2}}, true, true},
		"other content of the same era":    {Revision{Version: 3, Era: 1, Digest: [32]byte{2}}, false, false},
		"other content of an earlier era":  {Revision{Version: 3, Era: 0, Digest: [32]byte{2}}, false, false},
		"higher version of an earlier era": {Revision{Version: 4, Era: 0}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			replaces, isConflict := c.next.Replaces(inForce)
			require.Equal(t, c.replaces, replaces)
			require.Equal(t, c.isConflict, isConflict)
		})
	}
}
