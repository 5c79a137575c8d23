package httpapi

import (
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"tarragonridge.example/tarragonridge/internal/core/errkind"
)

// DecodeJSON decodes a JSON body of at most limit bytes into v. Unknown fields
// are errors, so that a misspelled field is not silently ignored, and so is
// data after the JSON value.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return errkind.New(errkind.UnsupportedMediaType, "Content-Type must be application/json")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidRequest, "data after the JSON value")
	}
	return nil
}

// decodeError converts an error of the JSON decoder to an error with a kind.
func decodeError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return AsError(err)
	}
	if errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidRequest, "empty body")
	}
	return errkind.Wrap(err, errkind.InvalidRequest, "body: %s", err)
}
