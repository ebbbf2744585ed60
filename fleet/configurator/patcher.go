package configurator

import (
	"bytes"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/tailscale/hujson"

	"cardamompulley/fleet/model"
)

// Patch is a JSON merge patch (RFC 7396) against one version of the document.
type Patch struct {
	BaseVersion model.Version   `json:"base-version"`
	Merge       json.RawMessage `json:"merge"`
}

// ParsePatch reads a patch written in JSON with comments.
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

// Apply returns the document that a patch makes, or ErrStaleBase or ErrInvalid.
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
	if err := Check(next); err != nil {
		return model.Document{}, err
	}
	if err := CheckChange(base, next); err != nil {
		return model.Document{}, err
	}

	return next, nil
}

// CheckChange returns a FaultList when a change would lose track of where keys have run.
func CheckChange(base, next model.Document) error {
	c := checker{}
	for id, old := range base.Fleet.Services {
		changed, ok := next.Fleet.Services[id]
		if !ok || len(old.Homes) == 0 {
			continue
		}
		c.checkHomesChange(id, old.Homes, changed.Homes)
	}

	return c.result()
}

func (c *checker) checkHomesChange(id model.ServiceID, old, changed []model.HomeGeneration) {
	if len(changed) == 0 {
		c.fault("services.%s.homes: removed while keys may be held", id)

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
			c.fault("services.%s.homes: generation %d changes its endpoints; add a generation", id, h.Number)
		}
	}
	if !kept {
		c.fault("services.%s.homes: generation %d is dropped in the patch that replaces it", id, newest.Number)
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

// DecodeStrict reads JSON with comments into target and refuses unknown names and trailing text.
func DecodeStrict(raw []byte, target any) error {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%w: line %d: %w", ErrInvalid, lineOf(standard, decoder.InputOffset()), err)
	}

	return nil
}

func lineOf(raw []byte, offset int64) int {
	end := min(int(offset), len(raw))

	return 1 + bytes.Count(raw[:end], []byte("\n"))
}
