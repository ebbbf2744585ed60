package configurator

import (
	"errors"
	"testing"

	"cardamompulley/fleet/model"
)

func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"base-version": 1, "merge": {"fleet": {"domains": {"d": {"state": "out"}}}}}`))
	f.Add([]byte(`{"base-version": 1, "merge": null}`))
	f.Add([]byte(`{"base-version": 1, "merge": {"accounts": {"a": null}}} // done`))
	base := model.Document{Fleet: model.Fleet{Domains: map[model.DomainID]model.Domain{"d": {State: model.DomainInService}}}}
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := ParsePatch(raw)
		if err != nil {
			return
		}
		next, err := Apply(base, 1, p)
		if err != nil {
			if !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrStaleBase) {
				t.Fatalf("error wraps neither ErrInvalid nor ErrStaleBase: %v", err)
			}

			return
		}
		if err := Validate(next); err != nil {
			t.Fatalf("applied patch produced an invalid document: %v", err)
		}
	})
}

func FuzzOffer(f *testing.F) {
	f.Add([]byte(`{"version": 2, "parts": {"fleet": "x"}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, manifest, value []byte) {
		a := NewAcceptor(AllParts, 0)
		verdict, _ := a.Offer(manifest, map[string][]byte{ContentHash(value): value})
		if verdict == VerdictAccepted && a.Version() == 0 {
			t.Fatal("version zero was accepted")
		}
	})
}
