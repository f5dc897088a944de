package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z_.0-9]+)\}\}(.*?)\{\{/([A-Za-z_.0-9]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)(\|json)?\}\}`)
)

// render fills in a template of the deploy file from the fields of a process's settings, by the
// part of the platform's rules that the project's templates use: values, and sections of values.
func render(template string, fields map[string]any) string {
	out := sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v, ok := fields[m[2]]
		if m[1] == "^" {
			if ok {
				return ""
			}
			return m[3]
		}
		if !ok {
			return ""
		}
		return regexp.MustCompile(`\{\{\.\}\}`).ReplaceAllString(m[3], fmt.Sprint(v))
	})
	return valuePattern.ReplaceAllStringFunc(out, func(s string) string {
		m := valuePattern.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		return fmt.Sprint(v)
	})
}

// writeSettings renders a template of the repository into a file and returns its path.
func writeSettings(repo, template, dir, name string, fields map[string]any) (string, error) {
	t, err := os.ReadFile(filepath.Join(repo, template))
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, name+".json")
	return path, os.WriteFile(path, []byte(render(string(t), fields)), 0o600)
}
