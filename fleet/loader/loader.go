package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// ErrSettings is matched by every fault list.
var ErrSettings = errors.New("loader: faults in settings")

// Option is one row of a settings table; Target points to the variable that it fills.
type Option struct {
	Name     string
	Target   any
	Required bool
	Unit     string
	Default  string
	Bound    string
	Meaning  string
	Check    func() error
}

// Faults lists what is wrong in a settings file, one line each.
type Faults struct {
	Lines []string
}

// Error joins the faults, one a line.
func (f *Faults) Error() string {
	return strings.Join(f.Lines, "\n")
}

// Unwrap makes errors.Is find ErrSettings.
func (f *Faults) Unwrap() error {
	return ErrSettings
}

// LoadFile reads a settings file into the targets of a table, or returns Faults.
func LoadFile(path string, options []Option) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return &Faults{Lines: []string{fmt.Sprintf("%s: cannot be read: %v", path, errors.Unwrap(err))}}
	}

	return Load(path, raw, options)
}

// Load reads settings text into the targets of a table, or returns Faults that name the file and line of each.
func Load(path string, raw []byte, options []Option) error {
	p := pass{path: path, raw: raw, table: options, seen: map[string]int{}}
	value, err := hujson.Parse(raw)
	if err != nil {
		return &Faults{Lines: []string{fmt.Sprintf("%s: %v", path, err)}}
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return &Faults{Lines: []string{fmt.Sprintf("%s:1: settings must be one object", path)}}
	}
	for i := range object.Members {
		p.read(&object.Members[i])
	}
	p.finish()
	if len(p.faults) > 0 {
		return &Faults{Lines: p.faults}
	}

	return nil
}

type pass struct {
	path   string
	raw    []byte
	table  []Option
	seen   map[string]int
	faults []string
}

func (p *pass) fault(line int, format string, arguments ...any) {
	p.faults = append(p.faults, fmt.Sprintf("%s:%d: ", p.path, line)+fmt.Sprintf(format, arguments...))
}

func (p *pass) read(m *hujson.ObjectMember) {
	line := 1 + strings.Count(string(p.raw[:m.Name.StartOffset]), "\n")
	name := nameOf(m)
	option := p.find(name)
	if option == nil {
		p.fault(line, "%q is not a known setting", name)

		return
	}
	if first, twice := p.seen[name]; twice {
		p.fault(line, "%q is already set on line %d", name, first)

		return
	}
	p.seen[name] = line
	p.decode(option, m.Value, line)
}

func (p *pass) decode(option *Option, value hujson.Value, line int) {
	value.Standardize()
	if err := json.Unmarshal(value.Pack(), option.Target); err != nil {
		p.fault(line, "%q must be %s", option.Name, kindOf(option.Target))

		return
	}
	if option.Check == nil {
		return
	}
	if err := option.Check(); err != nil {
		p.fault(line, "%q %v", option.Name, err)
	}
}

func (p *pass) find(name string) *Option {
	for i := range p.table {
		if p.table[i].Name == name {
			return &p.table[i]
		}
	}

	return nil
}

func (p *pass) finish() {
	last := 1 + strings.Count(strings.TrimRight(string(p.raw), "\n"), "\n")
	for _, o := range p.table {
		if _, ok := p.seen[o.Name]; !ok && o.Required {
			p.fault(last, "%q is required", o.Name)
		}
	}
}

func nameOf(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literal.String()
	}

	return ""
}

func kindOf(target any) string {
	switch reflect.TypeOf(target).Elem().Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	default:
		return "another kind of value"
	}
}

// Row returns the option's line in the settings table of docs/CONFIGURATION.md.
func (o Option) Row() string {
	required := ""
	if o.Required {
		required = "required"
	}

	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", o.Name, required, o.Default, o.Unit, o.Bound, o.Meaning)
}
