package configurator

import (
	"bytes"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"

	"cardamompulley/fleet/model"
)

// Patch is a JSON merge patch (RFC 7396) to the document of BaseVersion.
type Patch struct {
	BaseVersion model.Version   `json:"base-version"`
	Merge       json.RawMessage `json:"merge"`
}

// ParsePatch decodes a patch written in JSON with comments. It returns ErrInvalid if the patch is malformed or has no merge.
func ParsePatch(raw []byte) (Patch, error) {
	var p Patch
	if err := DecodeStrict(raw, &p); err != nil {
		return Patch{}, fmt.Errorf("configurator: patch: %w", err)
	}
	if len(p.Merge) == 0 {
		return Patch{}, fmt.Errorf("configurator: patch: %w: merge is missing", ErrInvalid)
	}

	return p, nil
}

// Apply returns the document that results from applying a patch to the base document of the given version. It returns
// ErrStaleBase if the patch is for another version and ErrInvalid if the result fails Validate or ValidateChange.
func Apply(base model.Document, version model.Version, p Patch) (model.Document, error) {
	if p.BaseVersion != version {
		return model.Document{}, fmt.Errorf("%w: base is %d, current is %d", ErrStaleBase, p.BaseVersion, version)
	}
	raw, err := json.Marshal(base)
	if err != nil {
		return model.Document{}, fmt.Errorf("configurator: version %d: %w", version, err)
	}
	merged, err := jsonpatch.MergePatch(raw, p.Merge)
	if err != nil {
		return model.Document{}, fmt.Errorf("%w: merge: %w", ErrInvalid, err)
	}
	var next model.Document
	if err := DecodeStrict(merged, &next); err != nil {
		return model.Document{}, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := Validate(next); err != nil {
		return model.Document{}, err
	}
	if err := ValidateChange(base, next); err != nil {
		return model.Document{}, err
	}

	return next, nil
}

// ValidateChange returns ValidationErrors if a change drops the newest home generation of a service or alters its endpoints.
// Endpoints ask the homes of earlier generations whether an idempotency key has run, so the fleet would lose track of where
// keys have run.
func ValidateChange(base, next model.Document) error {
	v := validator{}
	for id, old := range base.Fleet.Services {
		changed, ok := next.Fleet.Services[id]
		if !ok || len(old.Homes) == 0 {
			continue
		}
		v.validateHomesChange(id, old.Homes, changed.Homes)
	}

	return v.err()
}

func (v *validator) validateHomesChange(id model.ServiceID, old, changed []model.HomeGeneration) {
	if len(changed) == 0 {
		v.addError("services.%s.homes: removed while keys may be held", id)

		return
	}
	newest := old[len(old)-1]
	kept := false
	for _, h := range changed {
		if h.Number != newest.Number {
			continue
		}
		kept = true
		if !sameEndpoints(h.Endpoints, newest.Endpoints) {
			v.addError("services.%s.homes: generation %d changes its endpoints; add a generation", id, h.Number)
		}
	}
	if !kept {
		v.addError("services.%s.homes: generation %d is dropped in the patch that replaces it", id, newest.Number)
	}
}

func sameEndpoints(a, b []model.EndpointID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}

	return true
}

// DecodeStrict decodes JSON with comments into target. It returns ErrInvalid for malformed input, unknown
// fields and trailing text.
func DecodeStrict(raw []byte, target any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%w: line %d: %w", ErrInvalid, lineNumber(standard, decoder.InputOffset()), err)
	}

	return nil
}

func lineNumber(raw []byte, offset int64) int {
	end := min(int(offset), len(raw))

	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
