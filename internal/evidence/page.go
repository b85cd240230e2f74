package evidence

import (
	"fmt"
	"io"
	"text/template"
	"time"
)

var page = template.Must(template.New("evidence").Funcs(template.FuncMap{
	"time": func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"add":  func(a, b int) int { return a + b },
}).Parse(`Evidence of operation
from {{time .Span.From}} to {{time .Span.To}}, made at {{time .MadeAt}}
{{if .Holds}}No breach of any condition was found.{{else}}BREACHES WERE FOUND.{{end}}
{{range $i, $f := .Findings}}
{{add $i 1}}. {{$f.Description}}
   {{if $f.Holds}}no breach found{{else}}{{len $f.Breaches}} breaches{{end}}
{{- range $f.Checked}}
   checked: {{.Value}} {{.Name}}{{end}}
{{- range $f.Breaches}}
   BREACH: {{if not .At.IsZero}}{{time .At}} {{end}}stream {{.Stream}}, offset {{.Offset}}: {{.Text}}{{end}}
{{- range $f.NotKnown}}
   not known: {{.}}{{end}}
{{end}}
Records
{{- range .Streams}}{{if .Records}}
   {{.Stream}}: {{.Records}} records, offsets {{.Oldest}} to {{.Next}}{{if .Unread}}, {{.Unread}} could not be read{{end}}{{end}}{{end}}
`))

// WritePage writes the report as human-readable text.
func WritePage(w io.Writer, report Report) error {
	if err := page.Execute(w, report); err != nil {
		return &PageError{Err: err}
	}
	return nil
}

// PageError reports that the text of a report could not be written.
type PageError struct {
	Err error
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("cannot write report: %v", e.Err)
}

// Unwrap returns the cause.
func (e *PageError) Unwrap() error { return e.Err }
