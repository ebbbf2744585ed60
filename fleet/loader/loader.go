package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// ErrSettings matches every ValidationError in errors.Is.
var ErrSettings = errors.New("loader: faults in settings")

// Option describes one setting. Target points to the variable that receives the value, and Check, if set, validates it
// afterwards. Unit, Default, AllowedValues and Meaning are only documentation.
type Option struct {
	Name          string
	Target        any
	Required      bool
	Unit          string
	Default       string
	AllowedValues string
	Meaning       string
	Check         func() error
	// Round makes a whole number of a fraction; without it, a whole number must be given as one.
	Round func(float64) float64
}

// ValidationError lists the problems of a settings file, one line each.
type ValidationError struct {
	Problems []string
}

// Error returns all problems, one per line.
func (e *ValidationError) Error() string {
	return strings.Join(e.Problems, "\n")
}

// Unwrap returns ErrSettings.
func (e *ValidationError) Unwrap() error {
	return ErrSettings
}

// LoadFile reads a settings file into the targets of the options. The error is a *ValidationError.
func LoadFile(path string, options []Option) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return &ValidationError{Problems: []string{fmt.Sprintf("%s: cannot be read: %v", path, errors.Unwrap(err))}}
	}

	return Load(path, raw, options)
}

// Load parses the settings in raw into the targets of the options. The error is a *ValidationError whose problems name path
// and the line. Targets of valid settings are set even if others are invalid.
func Load(path string, raw []byte, options []Option) error {
	d := decoder{path: path, raw: raw, options: options, lines: map[string]int{}}
	value, err := hujson.Parse(raw)
	if err != nil {
		return &ValidationError{Problems: []string{fmt.Sprintf("%s: %v", path, err)}}
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return &ValidationError{Problems: []string{fmt.Sprintf("%s:1: settings must be one object", path)}}
	}
	for i := range object.Members {
		d.decodeMember(&object.Members[i])
	}
	d.checkRequired()
	if len(d.problems) > 0 {
		return &ValidationError{Problems: d.problems}
	}

	return nil
}

type decoder struct {
	path    string
	raw     []byte
	options []Option
	// lines holds the line of each setting that has been read.
	lines    map[string]int
	problems []string
}

func (d *decoder) addProblem(line int, format string, arguments ...any) {
	d.problems = append(d.problems, fmt.Sprintf("%s:%d: ", d.path, line)+fmt.Sprintf(format, arguments...))
}

func (d *decoder) decodeMember(m *hujson.ObjectMember) {
	line := 1 + strings.Count(string(d.raw[:m.Name.StartOffset]), "\n")
	name := memberName(m)
	option := d.find(name)
	if option == nil {
		d.addProblem(line, "%q is not a known setting", name)

		return
	}
	if firstLine, duplicate := d.lines[name]; duplicate {
		d.addProblem(line, "%q is already set on line %d", name, firstLine)

		return
	}
	d.lines[name] = line
	d.decode(option, m.Value, line)
}

func (d *decoder) decode(option *Option, value hujson.Value, line int) {
	value.Standardize()
	if err := option.unmarshal(value.Pack()); err != nil {
		d.addProblem(line, "%q must be %s", option.Name, typeName(option.Target))

		return
	}
	if option.Check == nil {
		return
	}
	if err := option.Check(); err != nil {
		d.addProblem(line, "%q %v", option.Name, err)
	}
}

// unmarshal sets the target, to the rounded value of a number if the option is rounded.
func (o *Option) unmarshal(raw []byte) error {
	if o.Round == nil {
		return json.Unmarshal(raw, o.Target)
	}
	var number *float64
	if err := json.Unmarshal(raw, &number); err != nil || number == nil {
		return err
	}

	return json.Unmarshal(strconv.AppendFloat(nil, o.Round(*number), 'f', -1, 64), o.Target)
}

func (d *decoder) find(name string) *Option {
	for i := range d.options {
		if d.options[i].Name == name {
			return &d.options[i]
		}
	}

	return nil
}

func (d *decoder) checkRequired() {
	lastLine := 1 + strings.Count(strings.TrimRight(string(d.raw), "\n"), "\n")
	for _, o := range d.options {
		if _, ok := d.lines[o.Name]; !ok && o.Required {
			d.addProblem(lastLine, "%q is required", o.Name)
		}
	}
}

func memberName(m *hujson.ObjectMember) string {
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		return literal.String()
	}

	return ""
}

func typeName(target any) string {
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

// TableRow returns the row of the option in the settings table of docs/CONFIGURATION.md.
func (o Option) TableRow() string {
	required := ""
	if o.Required {
		required = "required"
	}

	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", o.Name, required, o.Default, o.Unit, o.AllowedValues, o.Meaning)
}
