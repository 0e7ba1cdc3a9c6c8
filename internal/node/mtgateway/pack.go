package mtgateway

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// unpackLimit bounds what compressed changes may become, in bytes.
const unpackLimit = 16 << 20

// packed returns changes in compressed form; configurations shrink to a tenth.
func packed(changes *peerv1.Changes) *peerv1.Changes {
	text, err := proto.Marshal(changes)
	if err != nil {
		return changes
	}
	buffer := &bytes.Buffer{}
	writer := gzip.NewWriter(buffer)
	// Writing to a buffer can't fail.
	_, _ = writer.Write(text)
	_ = writer.Close()
	return &peerv1.Changes{
		Feed:   changes.GetFeed(),
		From:   changes.GetFrom(),
		To:     changes.GetTo(),
		Whole:  changes.GetWhole(),
		Age:    changes.GetAge(),
		Packed: buffer.Bytes(),
	}
}

// unpacked returns changes as they were before packed.
func unpacked(changes *peerv1.Changes) (*peerv1.Changes, error) {
	if len(changes.GetPacked()) == 0 {
		return changes, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(changes.GetPacked()))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(reader, unpackLimit))
	if err != nil {
		return nil, err
	}
	result := &peerv1.Changes{}
	return result, proto.Unmarshal(text, result)
}
