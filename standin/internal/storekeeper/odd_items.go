package storekeeper

import "encoding/json"

// oddItems returns items that cannot be read: a value that is no base64, a revision that is too large and a key that is no text.
func oddItems() []any {
	return []any{
		json.RawMessage(`{"key": "servers/odd-value", "value": "*", "revision": 7}`),
		json.RawMessage(`{"key": "servers/odd-revision", "value": "e30=", "revision": 99999999999999999999999}`),
		json.RawMessage(`{"key": 7, "value": "e30=", "revision": 7}`),
	}
}

// oddResponse is a response that has odd items before the others.
type oddResponse struct {
	Entries  []any  `json:"entries,omitempty"`
	Events   []any  `json:"events,omitempty"`
	HasMore  bool   `json:"has-more"`
	Revision uint64 `json:"current-rev"`
}

func (r response) withOddItems() oddResponse {
	return oddResponse{
		Entries: afterOddItems(r.Entries), Events: afterOddItems(r.Events), HasMore: r.HasMore, Revision: r.Revision,
	}
}

// afterOddItems returns odd items and then the items, or nothing if there are none.
func afterOddItems(items []Item) []any {
	if len(items) == 0 {
		return nil
	}
	all := oddItems()
	for _, item := range items {
		all = append(all, item)
	}

	return all
}
