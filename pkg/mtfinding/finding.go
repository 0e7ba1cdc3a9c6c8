package mtfinding

import "fmt"

// Finding is one fault of a document and its location.
type Finding struct {
	// File is the name of the document, or empty.
	File string
	// Pointer is a JSON pointer (RFC 6901) to the value at fault, or "line 3" where the text is not JSON.
	Pointer string
	// Found describes the value.
	Found string
	// Expected describes a valid value.
	Expected string
}

// String returns the finding on one line: its file, pointer, and what was found and expected.
func (f Finding) String() string {
	pointer := f.Pointer
	if pointer == "" {
		pointer = "/"
	}
	line := fmt.Sprintf("%s: found %s, expected %s", pointer, f.Found, f.Expected)
	if f.File == "" {
		return line
	}
	return f.File + ": " + line
}
