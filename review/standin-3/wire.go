package main

import (
	_ "embed"
	"encoding/json"
	"io"
)

// settings is the form of an entry's settings file.
//
//go:embed settings.txt
var settings string

//go:embed wire.json
var wireFile []byte

// word returns how the protocol of the users' platform spells a name.
func word(name string) string { return words[name] }

var words, names = loadWords()

func loadWords() (map[string]string, map[string]string) {
	words, names := map[string]string{}, map[string]string{}
	if err := json.Unmarshal(wireFile, &words); err != nil {
		panic(err)
	}
	for name, word := range words {
		names[word] = name
	}
	return words, names
}

// decode reads an object, whose fields get the names that this program has for them.
func decode(from io.Reader, to any) error {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(from).Decode(&fields); err != nil {
		return err
	}
	for field, value := range fields {
		if name, ok := names[field]; ok {
			fields[name] = value
		}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, to)
}

// oneTask returns the step of a job that has one task.
func oneTask(cpu, memory, estimate int) map[string]any {
	return map[string]any{"count": 1, "cpu": cpu, word("memory"): memory, word("estimate"): estimate}
}
