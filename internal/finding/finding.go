// Package finding collects the problems of a document with their places, so that one report lists all of them.
package finding

import (
	"fmt"
	"strings"
)

// Finding is a problem of a document and its place.
type Finding struct {
	// Place is a JSON pointer (RFC 6901) into the checked document, such as "/queues/quotes/pool".
	Place string `json:"place"`
	// Message states what is wrong and what is expected.
	Message string `json:"message"`
}

// String returns "place: message".
func (f Finding) String() string {
	if f.Place == "" {
		return "/: " + f.Message
	}
	return f.Place + ": " + f.Message
}

// List is a list of findings. Err returns a non-empty List as an error.
type List []Finding

// Add appends a finding with a formatted message.
func (l *List) Add(place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Err returns nil for an empty list and the list itself otherwise.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all findings, one per line.
func (l List) Error() string {
	lines := make([]string, len(l))
	for i, f := range l {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Pointer returns the JSON pointer of the reference tokens, with "~" and "/" escaped.
func Pointer(tokens ...string) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteByte('/')
		b.WriteString(escaper.Replace(t))
	}
	return b.String()
}

var escaper = strings.NewReplacer("~", "~0", "/", "~1")
