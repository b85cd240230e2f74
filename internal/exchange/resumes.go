package exchange

import (
	"bytes"
	"mime"
	"net/http"
)

// checkResumes returns an error if a success cannot be the rest of a stream of which the caller has
// a part, of a content type.
func checkResumes(answer *Answer, begunType string) error {
	contentType := answer.Header.Get(headerContentType)
	if answer.Status == http.StatusOK && (contentType == "" || mediaType(contentType) == mediaType(begunType)) {
		return nil
	}
	return &BrokenError{Reason: Disorder, Err: &NotResumedError{Status: answer.Status, ContentType: contentType}}
}

// mediaType returns a content type without its parameters.
func mediaType(contentType string) string {
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return contentType
	}
	return media
}

// beginsWithID reports whether the first of complete events has an ID and holds nothing but fields:
// the head or the text of another answer may precede or replace it. It returns false, and that no event
// was found, if all are comments.
func beginsWithID(complete []byte) (found, ok bool) {
	for event := range bytes.SplitSeq(complete, eventEnd) {
		hasID, hasField := false, false
		for line := range bytes.SplitSeq(event, []byte("\n")) {
			if len(line) == 0 || line[0] == ':' {
				continue
			}
			if !isField(line) {
				return true, false
			}
			hasField, hasID = true, hasID || bytes.HasPrefix(line, idField)
		}
		if hasField {
			return true, hasID
		}
	}
	return false, false
}

// isField reports whether a line begins with a field's name, in lower case as all of a stream's, and a
// colon.
func isField(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return ok
}
