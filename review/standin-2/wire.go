package main

import (
	_ "embed" // for wireFile and settingsFile
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// wireFile holds the names on the wire for those that the stand-ins use.
//
//go:embed wire.json
var wireFile []byte

// settingsFile is the settings file of an entry, with a verb for each value that differs.
//
//go:embed settings.toml
var settingsFile string

// wireNames are the names on the wire.
var wireNames = readWire()

type wire struct {
	Names map[string]string `json:"names"`
	Paths map[string]string `json:"paths"`
	// TargetInstance is the header that names the intended incarnation.
	TargetInstance string `json:"target-instance"`

	toBody, fromBody *strings.Replacer
	fromPath         map[string]string
}

func readWire() *wire {
	w := &wire{fromPath: map[string]string{}}
	if err := json.Unmarshal(wireFile, w); err != nil {
		panic(err) // The file is part of the program.
	}
	var to, from []string
	for own, name := range w.Names {
		to, from = append(to, `"`+own+`":`, `"`+name+`":`), append(from, `"`+name+`":`, `"`+own+`":`)
	}
	for own, path := range w.Paths {
		w.fromPath[path] = own
	}
	w.toBody, w.fromBody = strings.NewReplacer(to...), strings.NewReplacer(from...)
	return w
}

// encode returns a body on the wire.
func (w *wire) encode(body any) ([]byte, error) {
	data, err := json.Marshal(body)
	return []byte(w.toBody.Replace(string(data))), err
}

// decode reads a body from the wire.
func (w *wire) decode(r io.Reader, body any) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(w.fromBody.Replace(string(data))), body)
}

// path returns the stand-ins' own path of a request.
func (w *wire) path(r *http.Request) string {
	if own, ok := w.fromPath[r.URL.Path]; ok {
		return own
	}
	return r.URL.Path
}
