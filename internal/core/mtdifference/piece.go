// The load pattern: a configuration with thousands of tenants, of which each version changes a few. Links between
// instances carry some kilobytes a second, so that each version as a whole takes minutes, and the change a datagram.
//
// Records are cut where an element of JSON ends, so that an inserted or removed element moves the rest without changing
// its parts. The cost is linear in the lengths, and the result is correct for any bytes.

package mtdifference

import "errors"

// longElementBytes is the length from which on an element is cut at its commas: one tenant may have thousands of keys.
const longElementBytes = 256

// Piece is a part of a record: Length bytes of the base from an offset on, and the text after them.
type Piece struct {
	From   uint32
	Length uint32
	Text   []byte
}

// ErrNoMatch means that pieces refer to bytes that their base does not have.
var ErrNoMatch = errors.New("pieces do not match their base")

// Between returns the pieces that make a target of a base. The texts are parts of the target.
func Between(base, target []byte) []Piece {
	offsets := map[string]int{}
	for from := 0; from < len(base); {
		to := partEnd(base, from)
		if _, found := offsets[string(base[from:to])]; !found {
			offsets[string(base[from:to])] = from
		}
		from = to
	}
	var pieces []Piece
	textFrom := 0
	for from := 0; from < len(target); {
		to := partEnd(target, from)
		part := target[from:to]
		last := len(pieces) - 1
		if last >= 0 && textFrom == from {
			// The part may go on where the last piece ends, also if it occurs earlier in the base.
			end := int(pieces[last].From + pieces[last].Length)
			if end+len(part) <= len(base) && string(base[end:end+len(part)]) == string(part) {
				pieces[last].Length += uint32(len(part))
				from, textFrom = to, to
				continue
			}
		}
		if offset, found := offsets[string(part)]; found {
			pieces = appendText(pieces, target[textFrom:from])
			pieces = append(pieces, Piece{
				From:   uint32(offset),
				Length: uint32(len(part)),
			})
			textFrom = to
		}
		from = to
	}
	return appendText(pieces, target[textFrom:])
}

// appendText appends a text to the last piece.
func appendText(pieces []Piece, text []byte) []Piece {
	if len(text) == 0 {
		return pieces
	}
	if len(pieces) == 0 {
		pieces = append(pieces, Piece{})
	}
	pieces[len(pieces)-1].Text = text
	return pieces
}

// partEnd returns the end of the part of a record that begins at an offset.
func partEnd(record []byte, from int) int {
	for i := from; i < len(record); i++ {
		if record[i] == '}' || record[i] == ',' && i-from >= longElementBytes {
			return i + 1
		}
	}
	return len(record)
}

// Apply returns the target that pieces make of a base, or ErrNoMatch. The target has at most maxLength bytes.
func Apply(base []byte, pieces []Piece, maxLength int) ([]byte, error) {
	length := 0
	for _, piece := range pieces {
		if uint64(piece.From)+uint64(piece.Length) > uint64(len(base)) {
			return nil, ErrNoMatch
		}
		length += int(piece.Length) + len(piece.Text)
		if length > maxLength {
			return nil, ErrNoMatch
		}
	}
	target := make([]byte, 0, length)
	for _, piece := range pieces {
		target = append(target, base[piece.From:piece.From+piece.Length]...)
		target = append(target, piece.Text...)
	}
	return target, nil
}
