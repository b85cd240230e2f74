package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

const (
	beyondBytes = 900 << 10 // of a head beyond the limit
	legalBytes  = 14 << 10  // of one within it, with its other fields
	aheadCount  = 3000      // requests

	identifierCount = 200   // requests with long identifiers
	answerCount     = 20    // requests with large answers
	answerBytes     = 90000 // of such an answer
	giganticBody    = 2 << 30
)

// headOf returns the head of a request without its end.
func headOf(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer k1\r\n"
}

// shortFields returns fields of few bytes, all with other names.
func shortFields(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		_, _ = text.WriteString(strconv.FormatInt(int64(i), 36) + ":1\r\n")
	}
	return text.String()
}

// writes returns a client that sends texts.
func writes(texts ...string) func(io.Writer) error {
	return func(w io.Writer) error {
		for _, text := range texts {
			if _, err := io.WriteString(w, text); err != nil {
				return err
			}
		}
		return nil
	}
}

// slowly returns a client that sends a text in pieces of 100 bytes, with pauses.
func slowly(text string) func(io.Writer) error {
	return func(w io.Writer) error {
		for begin := 0; begin < len(text); begin += 100 {
			if _, err := io.WriteString(w, text[begin:min(begin+100, len(text))]); err != nil {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
		return nil
	}
}

func headsBeyond(path string) func(io.Writer) error {
	return writes(headOf(path) + shortFields(beyondBytes) + "Content-Length: 10\r\n\r\nninebytes")
}

func headsWithoutEnd(path string) func(io.Writer) error {
	return writes(headOf(path) + shortFields(beyondBytes))
}

func longField(path string) func(io.Writer) error {
	return writes(headOf(path) + "Long: " + strings.Repeat("x", beyondBytes))
}

func legalHeads(path string) func(io.Writer) error {
	return writes(headOf(path) + shortFields(legalBytes) + "Content-Length: 10\r\n\r\nninebytes")
}

// headsBehind returns a client whose whole request comes with half of another one's head.
func headsBehind(path string) func(io.Writer) error {
	return writes(headOf(path) + "\r\n" + headOf(path) + shortFields(4<<10-2*len(headOf(path))-8))
}

// manyParts sends a head whose prompt has as many parts as can be written in it.
func manyParts(w io.Writer) error {
	return writes(headOf("/talk/crowd") + "Model: big\r\nPrompt-Prefix: " + strings.Repeat(",", legalBytes) + "\r\nContent-Length: 10\r\n\r\nninebytes")(w)
}

// longIdentifiers returns a client whose requests have identifiers as long as a head.
func longIdentifiers(path string) func(io.Writer) error {
	request := strings.Replace(headOf(path), ": crowd\r\n", ": "+strings.Repeat("x", legalBytes)+"\r\n", 1)
	return writes(strings.Repeat(request+"Content-Length: 0\r\n\r\n", identifierCount))
}

func ahead(path string) func(io.Writer) error {
	return writes(strings.Repeat(headOf(path)+"Content-Length: 0\r\n\r\n", aheadCount))
}

func smallChunks(path string) func(io.Writer) error {
	return writes(headOf(path) + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", crowdBodyBytes-1))
}

// bodies returns a client that sends a body of the largest size but for its last byte, in pieces.
func bodies(path string, piece int) func(io.Writer) error {
	texts := []string{headOf(path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)}
	for left := crowdBodyBytes - 1; left > 0; left -= piece {
		texts = append(texts, strings.Repeat("x", min(piece, left)))
	}
	return writes(texts...)
}

func announced(path string) func(io.Writer) error {
	return writes(headOf(path) + fmt.Sprintf("Content-Length: %d\r\n\r\n", giganticBody) + strings.Repeat("x", beyondBytes))
}

func largeChunk(path string) func(io.Writer) error {
	return writes(headOf(path) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", giganticBody) + strings.Repeat("x", beyondBytes))
}

func oneByte(w io.Writer) error { return writes("P")(w) }

// largeAhead sends requests whose answers are as large as their bodies.
func largeAhead(w io.Writer) error {
	return writes(strings.Repeat(headOf(routed)+fmt.Sprintf("Content-Length: %d\r\n\r\n", answerBytes)+strings.Repeat("x", answerBytes), answerCount))(w)
}
