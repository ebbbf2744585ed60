package parser

import (
	"errors"
	"testing"
)

func TestParseChatTable(t *testing.T) {
	cases := map[string]struct {
		body string
		good bool
	}{
		"good":               {`{"model": "m:a", "messages": [{"role": "user", "content": "hi"}]}`, true},
		"content in parts":   {`{"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "hi"}]}]}`, true},
		"malformed":          {`{"model": "m", "messages": [`, false},
		"no model":           {`{"messages": [{"role": "user", "content": "hi"}]}`, false},
		"no messages":        {`{"model": "m", "messages": []}`, false},
		"messages no list":   {`{"model": "m", "messages": "hi"}`, false},
		"negative limit":     {`{"model": "m", "max_tokens": -1, "messages": [{"role": "user", "content": "hi"}]}`, false},
		"not even an object": {`7`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseChat("a", []byte(c.body))
			if c.good != (err == nil) || (err != nil && !errors.Is(err, ErrBadRequest)) {
				t.Fatalf("err = %v", err)
			}
		})
	}
}

func TestChatKeyStaysOverTurns(t *testing.T) {
	first, err := ParseChat("a", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	later, err := ParseChat("a", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"},
		{"role": "assistant", "content": "ho"}, {"role": "user", "content": "again"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	other, err := ParseChat("b", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if first.Key != later.Key || !first.FirstTurn || later.FirstTurn {
		t.Fatalf("first %+v, later %+v", first, later)
	}
	if other.Key == first.Key || other.Fingerprint == first.Fingerprint {
		t.Fatal("two accounts share a chat")
	}
}

func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	f.Add([]byte(`{"model": 7}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		chat, err := ParseChat("a", raw)
		if err != nil && !errors.Is(err, ErrBadRequest) {
			t.Fatalf("an error without its sentinel: %v", err)
		}
		if err == nil && (chat.Key == 0 || chat.Model == "" && chat.Adapter == "") {
			t.Fatalf("accepted %+v", chat)
		}
	})
}
