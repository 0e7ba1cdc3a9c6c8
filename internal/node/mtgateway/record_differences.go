package mtgateway

import (
	"crypto/sha256"
	"errors"

	"github.com/mangotack/mangotack/internal/core/mtdifference"
	"github.com/mangotack/mangotack/internal/core/mtreplication"
	peerv1 "github.com/mangotack/mangotack/internal/gen/mangotack/peer/v1"
)

const (
	// minDividedBytes is the length from which on a record is sent as pieces of an earlier one.
	minDividedBytes = 1 << 10
	// maxEarlierBytes bounds the earlier records that are stored for instances that have missed the latest; one is stored
	// whatever its length.
	maxEarlierBytes = 512 << 10
	// pieceOverheadBytes is the length of a piece on the wire without its text.
	pieceOverheadBytes = 12
)

var errUnknownBase = errors.New("record is sent as pieces of one that is not known here")

// recordDigest is the hash of a record.
type recordDigest [sha256.Size]byte

// earlierRecords stores the latest records that were replaced, the newest first.
type earlierRecords struct {
	records [][]byte
	digests []recordDigest
}

// add stores a record that was replaced.
func (e *earlierRecords) add(record []byte) {
	if len(record) < minDividedBytes {
		return
	}
	e.records = append([][]byte{record}, e.records...)
	e.digests = append([]recordDigest{sha256.Sum256(record)}, e.digests...)
	total := 0
	for i, earlier := range e.records {
		if total += len(earlier); total > maxEarlierBytes && i > 0 {
			e.records, e.digests = e.records[:i], e.digests[:i]
			return
		}
	}
}

// find returns the record with a digest, or nil.
func (e *earlierRecords) find(digest []byte) []byte {
	for i := range e.digests {
		if string(e.digests[i][:]) == string(digest) {
			return e.records[i]
		}
	}
	return nil
}

// divide replaces the value of a change by pieces of an earlier record with the given digest, if these are shorter.
func divide(change *peerv1.Change, base, baseDigest []byte) bool {
	value := change.GetValue()
	if len(base) < minDividedBytes || len(value) < minDividedBytes {
		return false
	}
	pieces := mtdifference.Between(base, value)
	size := 0
	for _, piece := range pieces {
		size += len(piece.Text) + pieceOverheadBytes
	}
	if size > len(value)/2 {
		return false
	}
	for _, piece := range pieces {
		change.Pieces = append(change.Pieces, &peerv1.Piece{
			From:   piece.From,
			Length: piece.Length,
			Text:   piece.Text,
		})
	}
	digest := sha256.Sum256(value)
	change.Value, change.Base, change.Digest = nil, baseDigest, digest[:]
	return true
}

// divideChanges replaces the values of changes by pieces of the records before them, which values has by key.
func divideChanges(changes *peerv1.Changes, values map[string][]byte) {
	before := map[string][]byte{}
	for _, change := range changes.GetChanges() {
		if change.GetLost() {
			continue
		}
		base, found := before[change.GetKey()]
		if !found {
			base = values[change.GetKey()]
		}
		before[change.GetKey()] = change.GetValue()
		baseDigest := sha256.Sum256(base)
		if divide(change, base, baseDigest[:]) {
			changes.Differs = true
		}
	}
}

// restoreChanges replaces pieces by the values that they make, in place; values has the records here by key.
func restoreChanges(changes *peerv1.Changes, values map[string][]byte) error {
	before := map[string][]byte{}
	for _, change := range changes.GetChanges() {
		if change.GetLost() {
			continue
		}
		if len(change.GetDigest()) > 0 {
			base, found := before[change.GetKey()]
			if !found {
				base = values[change.GetKey()]
			}
			value, err := restore(change, base)
			if err != nil {
				return err
			}
			change.Value, change.Pieces, change.Base, change.Digest = value, nil, nil, nil
		}
		before[change.GetKey()] = change.GetValue()
	}
	return nil
}

func restore(change *peerv1.Change, base []byte) ([]byte, error) {
	if digest := sha256.Sum256(base); string(digest[:]) != string(change.GetBase()) {
		return nil, errUnknownBase
	}
	pieces := make([]mtdifference.Piece, 0, len(change.GetPieces()))
	for _, piece := range change.GetPieces() {
		pieces = append(pieces, mtdifference.Piece{
			From:   piece.GetFrom(),
			Length: piece.GetLength(),
			Text:   piece.GetText(),
		})
	}
	value, err := mtdifference.Apply(base, pieces, maxDecompressedBytes)
	if err != nil {
		return nil, err
	}
	if digest := sha256.Sum256(value); string(digest[:]) != string(change.GetDigest()) {
		return nil, mtdifference.ErrNoMatch
	}
	return value, nil
}

// baseDigests returns the digests of the long records of a feed; the caller holds the mutex of the feedSet. The records of
// endpoints are short.
func (f *feed) baseDigests() [][]byte {
	if f.number != mtreplication.ConfigurationFeed {
		return nil
	}
	var digests [][]byte
	for _, value := range f.values {
		if len(value) >= minDividedBytes {
			digest := sha256.Sum256(value)
			digests = append(digests, digest[:])
		}
	}
	return digests
}

// divideFor replaces the value of a change by pieces of a record that the recipient has, of which it sends the digests.
func (e *earlierRecords) divideFor(change *peerv1.Change, bases [][]byte) bool {
	for _, digest := range bases {
		if own := sha256.Sum256(change.GetValue()); string(own[:]) == string(digest) {
			return divide(change, change.GetValue(), digest)
		}
		if base := e.find(digest); base != nil {
			return divide(change, base, digest)
		}
	}
	return false
}
