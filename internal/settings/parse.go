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

// reader decodes a syntax tree into a settings struct and collects the faults.
type reader struct {
	file   string
	data   []byte
	at     map[string]int // byte offset of each key's value
	bad    map[string]bool
	faults []Problem
}

// parse decodes data. An empty role takes the role that the file names.
func parse(file string, data []byte, role string) (any, []Problem) {
	r := &reader{file: file, data: data, at: map[string]int{}, bad: map[string]bool{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, []Problem{r.syntaxFault(err)}
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		r.add(root.StartOffset, "", "found "+kindName(root), "an object")
		return nil, r.faults
	}
	found, ok := r.role(root, object, role)
	if !ok {
		return nil, r.faults
	}
	var settings any
	switch found {
	case RoleRouter:
		s := DefaultRouter()
		r.object(root, reflect.ValueOf(&s).Elem(), "")
		r.checkRouter(&s)
		settings = &s
	case RoleGateway:
		s := defaultGateway()
		r.object(root, reflect.ValueOf(&s).Elem(), "")
		r.checkGateway(&s)
		settings = &s
	case RoleRelay:
		s := Relay{LogLevel: "info"}
		r.object(root, reflect.ValueOf(&s).Elem(), "")
		r.checkRelay(&s)
		settings = &s
	default:
		s := defaultSidecar()
		r.object(root, reflect.ValueOf(&s).Elem(), "")
		r.checkSidecar(&s)
		settings = &s
	}
	r.sort()
	return settings, r.faults
}

// role returns the role whose rules apply. A file of another role than the
// wanted one is a fault.
func (r *reader) role(root hujson.Value, o *hujson.Object, want string) (string, bool) {
	expected := `"router", "sidecar", "gateway" or "relay"`
	if want != "" {
		expected = strconv.Quote(want)
	}
	for _, m := range o.Members {
		if memberName(m) != "role" {
			continue
		}
		lit, _ := m.Value.Value.(hujson.Literal)
		got := ""
		if lit.Kind() == '"' {
			got = lit.String()
		}
		known := slices.Contains([]string{RoleRouter, RoleSidecar, RoleGateway, RoleRelay}, got)
		if known && (want == "" || got == want) {
			return got, true
		}
		r.add(m.Value.StartOffset, "role", "wrong role", expected)
		return want, want != "" && !known
	}
	if want == "" {
		r.add(root.StartOffset, "role", "missing key", expected)
	}
	return want, want != ""
}

var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func (r *reader) syntaxFault(err error) Problem {
	f := Problem{File: r.file, Line: 1, Column: 1, Message: err.Error(), Expected: "JSON with comments"}
	if m := syntaxPosition.FindStringSubmatch(f.Message); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
		f.Message = f.Message[len(m[0]):]
	}
	return f
}

func (r *reader) add(offset int, key, problem, want string) {
	line, column := position(r.data, offset)
	r.faults = append(r.faults, Problem{
		File: r.file, Line: line, Column: column, Key: key, Message: problem, Expected: want,
	})
}

func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = 1 + strings.Count(string(before), "\n")
	start := strings.LastIndexByte(string(before), '\n') + 1
	return line, 1 + utf8.RuneCount(before[start:])
}

func (r *reader) sort() {
	sort.SliceStable(r.faults, func(i, j int) bool {
		a, b := r.faults[i], r.faults[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

func (r *reader) wrongType(v hujson.Value, key, want string) {
	r.bad[key] = true
	r.add(v.StartOffset, key, "found "+kindName(v), want)
}

// value decodes v into dst.
func (r *reader) value(v hujson.Value, dst reflect.Value, key string) {
	r.at[key] = v.StartOffset
	lit, _ := v.Value.(hujson.Literal)
	switch dst.Kind() {
	case reflect.Struct:
		r.object(v, dst, key)
	case reflect.Slice:
		r.array(v, dst, key)
	case reflect.String:
		if lit == nil || lit.Kind() != '"' {
			r.wrongType(v, key, "a string")
			return
		}
		dst.SetString(lit.String())
	case reflect.Bool:
		if lit == nil || (lit.Kind() != 't' && lit.Kind() != 'f') {
			r.wrongType(v, key, "true or false")
			return
		}
		dst.SetBool(lit.Bool())
	case reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if err != nil {
			r.wrongType(v, key, "an integer")
			return
		}
		dst.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(lit), 64)
		if err != nil {
			r.wrongType(v, key, "a number")
			return
		}
		dst.SetFloat(f)
	}
}

func (r *reader) array(v hujson.Value, dst reflect.Value, key string) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		r.wrongType(v, key, "an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		r.value(e, dst.Index(i), fmt.Sprintf("%s[%d]", key, i))
	}
}

func (r *reader) object(v hujson.Value, dst reflect.Value, key string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		r.wrongType(v, key, "an object")
		return
	}
	fields := fieldsOf(dst.Type())
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := memberName(m)
		path := join(key, name)
		f, known := fields[name]
		switch {
		case !known:
			r.add(m.Name.StartOffset, path, "unknown key", "one of "+strings.Join(sortedNames(fields), ", "))
		case seen[name]:
			r.add(m.Name.StartOffset, path, "key stands twice", "one value per key")
		default:
			r.value(m.Value, dst.Field(f.index), path)
		}
		seen[name] = true
	}
	r.missing(v, key, fields, seen)
}

func (r *reader) missing(v hujson.Value, key string, fields map[string]field, seen map[string]bool) {
	for _, name := range sortedNames(fields) {
		f := fields[name]
		if !f.required || seen[name] {
			continue
		}
		path := join(key, name)
		r.bad[path] = true
		r.add(v.StartOffset, path, "missing key", typeName(f.typ))
	}
}

type field struct {
	index    int
	required bool
	typ      reflect.Type
}

func fieldsOf(t reflect.Type) map[string]field {
	fields := make(map[string]field, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		fields[f.Tag.Get("json")] = field{index: i, required: f.Tag.Get("check") == "required", typ: f.Type}
	}
	return fields
}

func sortedNames(fields map[string]field) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func memberName(m hujson.ObjectMember) string {
	lit, _ := m.Name.Value.(hujson.Literal)
	return lit.String()
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func typeName(t reflect.Type) string {
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

func kindName(v hujson.Value) string {
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
