package holder

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamompulley/fleet/model"
)

// maxHolders is the maximum number of endpoints kept per chat.
const maxHolders = 3

// Directory is a bounded LRU index from chats to their holders, the endpoints that served them last. It is not safe for
// concurrent use.
type Directory struct {
	chats *simplelru.LRU[model.ChatKey, []model.EndpointID]
}

// NewDirectory returns a directory of at most size chats. It returns an error if size is not positive.
func NewDirectory(size int) (*Directory, error) {
	chats, err := simplelru.NewLRU[model.ChatKey, []model.EndpointID](size, nil)
	if err != nil {
		return nil, fmt.Errorf("holder: directory of %d chats: %w", size, err)
	}

	return &Directory{chats: chats}, nil
}

// Record stores that an endpoint has just served a chat. Chat zero means that the request has no chat and is ignored.
func (d *Directory) Record(chat model.ChatKey, id model.EndpointID) {
	if chat == 0 {
		return
	}
	current, _ := d.chats.Get(chat)
	if len(current) > 0 && current[0] == id {
		return
	}
	updated := make([]model.EndpointID, 1, maxHolders)
	updated[0] = id
	for _, h := range current {
		if h != id && len(updated) < maxHolders {
			updated = append(updated, h)
		}
	}
	d.chats.Add(chat, updated)
}

// Holders returns the holders of a chat, the most recent first. The slice must not be modified.
func (d *Directory) Holders(chat model.ChatKey) []model.EndpointID {
	held, _ := d.chats.Get(chat)

	return held
}

// Len returns the number of chats in the directory.
func (d *Directory) Len() int {
	return d.chats.Len()
}
