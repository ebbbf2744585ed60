package holder

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"cardamompulley/fleet/model"
)

const maxHolders = 3

// Directory is a bounded memory of chats and their holders, newest holder first.
type Directory struct {
	chats *simplelru.LRU[model.ChatKey, []model.EndpointID]
}

// NewDirectory returns a directory for up to a number of chats, or an error when that number is not positive.
func NewDirectory(size int) (*Directory, error) {
	chats, err := simplelru.NewLRU[model.ChatKey, []model.EndpointID](size, nil)
	if err != nil {
		return nil, fmt.Errorf("holder: directory of %d chats: %w", size, err)
	}

	return &Directory{chats: chats}, nil
}

// Note remembers that an endpoint has just served a chat.
func (d *Directory) Note(chat model.ChatKey, id model.EndpointID) {
	if chat == 0 {
		return
	}
	held, _ := d.chats.Get(chat)
	if len(held) > 0 && held[0] == id {
		return
	}
	next := make([]model.EndpointID, 1, maxHolders)
	next[0] = id
	for _, h := range held {
		if h != id && len(next) < maxHolders {
			next = append(next, h)
		}
	}
	d.chats.Add(chat, next)
}

// Holders returns the endpoints that hold a chat; the slice must not be changed.
func (d *Directory) Holders(chat model.ChatKey) []model.EndpointID {
	held, _ := d.chats.Get(chat)

	return held
}

// Len returns how many chats are remembered.
func (d *Directory) Len() int {
	return d.chats.Len()
}
