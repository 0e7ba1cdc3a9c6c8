package mtreplica_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/mangotack/mangotack/internal/node/mtreplica"
	platformv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/platform/v1"
	recordv1 "github.com/mangotack/mangotack/pkg/gen/mangotack/record/v1"
)

// An entry with arbitrary data must be skipped without a panic or an error. Otherwise one bad entry would stop all
// readers of the log.
func FuzzApply(f *testing.F) {
	mark, err := proto.Marshal(&recordv1.Record{
		Id:   "a",
		Body: &recordv1.Record_Mark{Mark: &recordv1.Mark{Instance: "x", Leaving: true}},
	})
	require.NoError(f, err)
	f.Add(mark)
	f.Add([]byte("nonsense"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		state := mtreplica.NewReplica()
		require.NoError(t, state.Apply([]*platformv1.Entry{{Data: data}}))
		require.EqualValues(t, 1, state.NextOffset())
	})
}
