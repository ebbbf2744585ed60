package loader

import (
	"errors"
	"testing"
)

func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"listen": "127.0.0.1:0", "max": 3}`))
	f.Add([]byte(`{/* c */ "listen": 3}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		listen, most := "", 0
		err := Load("f", raw, []Option{
			{Name: "listen", Target: &listen, Required: true, Check: Address(&listen)},
			{Name: "max", Target: &most, Check: Range(&most, 0, 9)},
		})
		if err != nil && !errors.Is(err, ErrSettings) {
			t.Fatalf("error does not match ErrSettings: %v", err)
		}
		if err == nil && (listen == "" || most < 0 || most > 9) {
			t.Fatalf("accepted invalid settings: listen %q, max %d", listen, most)
		}
	})
}
