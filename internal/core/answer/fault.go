package answer

import "io"

// Reason says why bytes are no answer.
type Reason string

// The reasons, with the sections of the RFCs that they come from. The list is closed.
const (
	NoStatusLine      Reason = "no status line of HTTP/1.x"                          // RFC 9112, 4 and 2.3
	BadStatus         Reason = "status is not a number from 100 to 599"              // RFC 9110, 15
	BadReason         Reason = "control byte in the reason phrase"                   // RFC 9112, 4 and 2.2
	UnaskedUpgrade    Reason = "change of the protocol that nobody asked for"        // RFC 9110, 7.8 and 15.2.2
	NoField           Reason = "line of a head without a colon"                      // RFC 9112, 5
	FoldedField       Reason = "line of a head that begins with a blank"             // RFC 9112, 2.2 and 5.2
	BadFieldName      Reason = "name of a field is not a token"                      // RFC 9110, 5.1; RFC 9112, 5.1
	BadFieldValue     Reason = "control byte in the value of a field"                // RFC 9110, 5.5
	BadLength         Reason = "Content-Length is not a number"                      // RFC 9110, 8.6; RFC 9112, 6.3
	SeveralLengths    Reason = "several Content-Lengths"                             // RFC 9110, 8.6; RFC 9112, 6.3
	UnknownCoding     Reason = "transfer coding other than chunked"                  // RFC 9112, 6.1 and 7
	LengthAndCoding   Reason = "both Content-Length and Transfer-Encoding"           // RFC 9112, 6.1 and 6.3
	OldVersionCoding  Reason = "Transfer-Encoding in HTTP/1.0"                       // RFC 9112, 6.1
	BadChunkSize      Reason = "bad size of a chunk"                                 // RFC 9112, 7.1
	BadChunkExtension Reason = "bad extension of a chunk"                            // RFC 9112, 7.1.1
	BadChunkEnd       Reason = "chunk is longer than its size"                       // RFC 9112, 7.1
	BadTrailerEnd     Reason = "line of a trailer section without a carriage return" // RFC 9112, 7.1
	FramingInTrailer  Reason = "framing in a trailer section"                        // RFC 9110, 6.5.1
	Cut               Reason = "answer is cut off"                                   // RFC 9112, 8
	LongHead          Reason = "head is too long"                                    // RFC 9110, 5.4
	ManyFields        Reason = "too many fields"                                     // RFC 9110, 5.4
	LongChunkLine     Reason = "line of a chunk's size is too long"                  // RFC 9112, 7.1.1
	LongTrailer       Reason = "trailer section is too long"                         // RFC 9110, 5.4
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		NoStatusLine, BadStatus, BadReason, UnaskedUpgrade, NoField, FoldedField, BadFieldName, BadFieldValue, BadLength, SeveralLengths,
		UnknownCoding, LengthAndCoding, OldVersionCoding, BadChunkSize, BadChunkExtension, BadChunkEnd, BadTrailerEnd,
		FramingInTrailer, Cut, LongHead, ManyFields, LongChunkLine, LongTrailer,
	}
}

// Fault is the error of an attempt that got no answer, or one that was cut off.
type Fault struct{ Reason Reason }

// Error implements error.
func (f *Fault) Error() string { return "no answer: " + string(f.Reason) }

// Unwrap returns io.ErrUnexpectedEOF for an answer that is cut off, as readers of net/http
// have it.
func (f *Fault) Unwrap() error {
	if f.Reason == Cut {
		return io.ErrUnexpectedEOF
	}
	return nil
}
