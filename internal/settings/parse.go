package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// decoder decodes a syntax tree into a settings struct, validates the result and
// collects the problems.
type decoder struct {
	file         string
	data         []byte
	valueOffsets map[string]int  // byte offset of each key's value
	reported     map[string]bool // keys whose value is known to be wrong; no check of it or of keys inside it is reported
	problems     []Problem
}

// parse decodes and validates data. If role is empty, the file's own role
// applies.
func parse(file string, data []byte, role string) (any, []Problem) {
	d := &decoder{file: file, data: data, valueOffsets: map[string]int{}, reported: map[string]bool{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, []Problem{d.syntaxProblem(err)}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		d.addAt(root.StartOffset, "", "found "+describeValue(root), "an object")
		return nil, d.problems
	}
	fileRole, ok := d.determineRole(root, object, role)
	if !ok {
		return nil, d.problems
	}
	var settings any
	switch fileRole {
	case RoleRouter:
		s := DefaultRouter()
		d.decodeObject(root, reflect.ValueOf(&s).Elem(), "")
		d.checkRouter(&s)
		settings = &s
	case RoleGateway:
		s := defaultGateway()
		d.decodeObject(root, reflect.ValueOf(&s).Elem(), "")
		d.checkGateway(&s)
		settings = &s
	case RoleRelay:
		s := Relay{LogLevel: "info"}
		d.decodeObject(root, reflect.ValueOf(&s).Elem(), "")
		d.checkRelay(&s)
		settings = &s
	default:
		s := defaultSidecar()
		d.decodeObject(root, reflect.ValueOf(&s).Elem(), "")
		d.checkSidecar(&s)
		settings = &s
	}
	d.sortProblems()
	return settings, d.problems
}

// determineRole returns the role whose rules apply to the file, and whether
// there is one. It reports a problem if the role is missing or is not the
// expected one; an empty expectedRole accepts any known role.
func (d *decoder) determineRole(root hujson.Value, o *hujson.Object, expectedRole string) (string, bool) {
	expectedText := `"router", "sidecar", "gateway" or "relay"`
	if expectedRole != "" {
		expectedText = strconv.Quote(expectedRole)
	}
	for _, m := range o.Members {
		if memberKey(m) != "role" {
			continue
		}
		lit, _ := m.Value.Value.(hujson.Literal)
		fileRole := ""
		if lit.Kind() == '"' {
			fileRole = lit.String()
		}
		known := slices.Contains([]string{RoleRouter, RoleSidecar, RoleGateway, RoleRelay}, fileRole)
		if known && (expectedRole == "" || fileRole == expectedRole) {
			return fileRole, true
		}
		d.addAt(m.Value.StartOffset, "role", "wrong role", expectedText)
		return expectedRole, expectedRole != "" && !known
	}
	if expectedRole == "" {
		d.addAt(root.StartOffset, "role", "missing key", expectedText)
	}
	return expectedRole, expectedRole != ""
}

var syntaxErrorPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// syntaxProblem converts an error of the JSON parser, whose message starts with
// the position.
func (d *decoder) syntaxProblem(err error) Problem {
	p := Problem{File: d.file, Line: 1, Column: 1, Message: err.Error(), Expected: "JSON with comments"}
	if m := syntaxErrorPosition.FindStringSubmatch(p.Message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Message = p.Message[len(m[0]):]
	}
	return p
}

// addAt reports a problem at a byte offset.
func (d *decoder) addAt(offset int, key, message, expected string) {
	line, column := lineAndColumn(d.data, offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Column: column, Key: key, Message: message, Expected: expected,
	})
}

// lineAndColumn converts a byte offset to a line and a column, both from 1. The
// column counts characters.
func lineAndColumn(data []byte, offset int) (line, column int) {
	preceding := data[:min(offset, len(data))]
	line = 1 + strings.Count(string(preceding), "\n")
	lineStart := strings.LastIndexByte(string(preceding), '\n') + 1
	return line, 1 + utf8.RuneCount(preceding[lineStart:])
}

// sortProblems sorts the problems by position.
func (d *decoder) sortProblems() {
	sort.SliceStable(d.problems, func(i, j int) bool {
		a, b := d.problems[i], d.problems[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// addWrongType reports that v does not have the type that its key needs.
func (d *decoder) addWrongType(v hujson.Value, key, expected string) {
	d.reported[key] = true
	d.addAt(v.StartOffset, key, "found "+describeValue(v), expected)
}

// decodeValue decodes v, the value of key, into dst.
func (d *decoder) decodeValue(v hujson.Value, dst reflect.Value, key string) {
	d.valueOffsets[key] = v.StartOffset
	lit, _ := v.Value.(hujson.Literal)
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeObject(v, dst, key)
	case reflect.Slice:
		d.decodeArray(v, dst, key)
	case reflect.String:
		if lit == nil || lit.Kind() != '"' {
			d.addWrongType(v, key, "a string")
			return
		}
		dst.SetString(lit.String())
	case reflect.Bool:
		if lit == nil || (lit.Kind() != 't' && lit.Kind() != 'f') {
			d.addWrongType(v, key, "true or false")
			return
		}
		dst.SetBool(lit.Bool())
	case reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if err != nil {
			d.addWrongType(v, key, "an integer")
			return
		}
		dst.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(lit), 64)
		if err != nil {
			d.addWrongType(v, key, "a number")
			return
		}
		dst.SetFloat(f)
	}
}

func (d *decoder) decodeArray(v hujson.Value, dst reflect.Value, key string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addWrongType(v, key, "an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.decodeValue(e, dst.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
}

func (d *decoder) decodeObject(v hujson.Value, dst reflect.Value, key string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addWrongType(v, key, "an object")
		return
	}
	fields := fieldsByKey(dst.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := memberKey(m)
		path := joinKey(key, name)
		f, known := fields[name]
		switch {
		case !known:
			d.addAt(m.Name.StartOffset, path, "unknown key", "one of "+strings.Join(sortedKeys(fields), ", "))
		case seen[name]:
			d.addAt(m.Name.StartOffset, path, "duplicate key", "each key at most once")
		default:
			d.decodeValue(m.Value, dst.Field(f.index), path)
		}
		seen[name] = true
	}
	d.checkRequiredKeys(v, key, fields, seen)
}

// checkRequiredKeys reports the required fields that the object v lacks.
func (d *decoder) checkRequiredKeys(v hujson.Value, key string, fields map[string]fieldInfo, seen map[string]bool) {
	for _, name := range sortedKeys(fields) {
		f := fields[name]
		if !f.required || seen[name] {
			continue
		}
		path := joinKey(key, name)
		d.reported[path] = true
		d.addAt(v.StartOffset, path, "missing key", describeType(f.typ))
	}
}

// fieldInfo describes a field of a settings struct.
type fieldInfo struct {
	index    int
	required bool
	typ      reflect.Type
}

// fieldsByKey returns the fields of a settings struct by their JSON keys.
func fieldsByKey(t reflect.Type) map[string]fieldInfo {
	fields := make(map[string]fieldInfo, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[f.Tag.Get("json")] = fieldInfo{index: i, required: f.Tag.Get("check") == "required", typ: f.Type}
	}
	return fields
}

func sortedKeys(fields map[string]fieldInfo) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func memberKey(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

// joinKey appends name to the dotted path key.
func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// describeType describes the JSON value that a field of type t needs.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.Int64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	}
	return "a string"
}

// describeValue describes the JSON value v.
func describeValue(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "the number " + v.Value.(hujson.Literal).String()
	case 'n':
		return "null"
	}
	return v.Value.(hujson.Literal).String()
}
