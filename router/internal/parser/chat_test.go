package parser

import (
	"errors"
	"testing"
)

func TestParseChatRequest(t *testing.T) {
	cases := map[string]struct {
		body    string
		isValid bool
	}{
		"valid":               {`{"model": "m:a", "messages": [{"role": "user", "content": "hi"}]}`, true},
		"content in parts":    {`{"model": "m", "messages": [{"role": "user", "content": [{"type": "text", "text": "hi"}]}]}`, true},
		"malformed":           {`{"model": "m", "messages": [`, false},
		"no model":            {`{"messages": [{"role": "user", "content": "hi"}]}`, false},
		"no messages":         {`{"model": "m", "messages": []}`, false},
		"messages not a list": {`{"model": "m", "messages": "hi"}`, false},
		"negative limit":      {`{"model": "m", "max_tokens": -1, "messages": [{"role": "user", "content": "hi"}]}`, false},
		"not an object":       {`7`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := ParseChatRequest("a", []byte(c.body))
			if c.isValid != (err == nil) || (err != nil && !errors.Is(err, ErrBadRequest)) {
				t.Fatalf("ParseChatRequest: error %v", err)
			}
		})
	}
}

func TestChatKeyIsStableAcrossTurns(t *testing.T) {
	first, err := ParseChatRequest("a", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	later, err := ParseChatRequest("a", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"},
		{"role": "assistant", "content": "ho"}, {"role": "user", "content": "again"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	other, err := ParseChatRequest("b", []byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if first.Key != later.Key || !first.IsFirstTurn || later.IsFirstTurn {
		t.Fatalf("first turn %+v, later turn %+v", first, later)
	}
	if other.Key == first.Key || other.Fingerprint == first.Fingerprint {
		t.Fatal("two client accounts have the same chat key or fingerprint")
	}
}

func FuzzParseChatRequest(f *testing.F) {
	f.Add([]byte(`{"model": "m", "messages": [{"role": "user", "content": "hi"}]}`))
	f.Add([]byte(`{"model": 7}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := ParseChatRequest("a", body)
		if err != nil && !errors.Is(err, ErrBadRequest) {
			t.Fatalf("error does not match ErrBadRequest: %v", err)
		}
		if err == nil && (chat.Key == 0 || chat.Model == "" && chat.Adapter == "") {
			t.Fatalf("accepted a request without a chat key or model: %+v", chat)
		}
	})
}
