package worker

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

const (
	noteTimeout    = 500 * timekeeper.Millis(1)
	suspectTimeout = 100 * timekeeper.Millis(1)
	noteBatch      = 10 * timekeeper.Millis(1)
	maxNotes       = 1024
)

// noteServed remembers that this endpoint holds a chat and queues a note for the chat's home.
func (w *Worker) noteServed(j *job) {
	chat := model.ChatKey(j.request.Chat)
	if chat == 0 {
		return
	}
	var home model.EndpointID
	w.follower.WithView(func(v follower.View) {
		g := v.Groups.Get(w.groupKey(j))
		if m := placer.NewPlacer(w.domain, v.LoadTable).Home(g, chat); m != placer.NoMember {
			home = g.Members[m].ID
		}
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chats.Record(chat, w.self)
	if home != "" && home != w.self && len(w.notes[home]) < maxNotes {
		w.notes[home] = append(w.notes[home], &messenger.HolderNote{Chat: uint64(chat), Endpoint: string(w.self)})
		select {
		case w.noted <- struct{}{}:
		default:
		}
	}
}

// controlNotes sends notes on their way in small batches.
func (w *Worker) controlNotes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.noted:
		}
		time.Sleep(noteBatch.Duration())
		w.flushNotes(ctx)
	}
}

// flushNotes sends the queued notes to their homes.
func (w *Worker) flushNotes(ctx context.Context) {
	s := w.follower.Snapshot()
	if s == nil {
		return
	}
	w.mu.Lock()
	notes := w.notes
	w.notes = map[model.EndpointID][]*messenger.HolderNote{}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, noteTimeout.Duration())
	defer cancel()
	var g conc.WaitGroup
	for home, batch := range notes {
		address := s.Fleet.Endpoints[home].Address
		if address == "" {
			continue
		}
		g.Go(func() {
			// A lost note costs one cache miss, so it is not sent again.
			_, _ = w.client(address).NoteHolders(ctx, &messenger.NoteHoldersRequest{Notes: batch})
		})
	}
	g.Wait()
}

// NoteHolders remembers which endpoints hold chats of this home.
func (w *Worker) NoteHolders(_ context.Context, r *messenger.NoteHoldersRequest) (*messenger.NoteHoldersResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range r.Notes {
		w.chats.Record(model.ChatKey(n.Chat), model.EndpointID(n.Endpoint))
	}

	return &messenger.NoteHoldersResponse{}, nil
}

func (w *Worker) sendSuspects(ctx context.Context, addresses []string, mark quarantiner.CrashRecord) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectTimeout.Duration())
	defer cancel()
	request := &messenger.NoteSuspectsRequest{Suspects: follower.EncodeMarks([]quarantiner.CrashRecord{mark})}
	var g conc.WaitGroup
	for _, address := range addresses {
		g.Go(func() {
			// The exchange carries the mark as well, so a lost call is not sent again.
			_, _ = w.client(address).NoteSuspects(ctx, request)
		})
	}
	g.Wait()
}

// NoteSuspects learns of requests that may have crashed an endpoint.
func (w *Worker) NoteSuspects(_ context.Context, r *messenger.NoteSuspectsRequest) (*messenger.NoteSuspectsResponse, error) {
	w.follower.WithView(func(v follower.View) {
		for _, s := range r.Suspects {
			v.Quarantine.Merge(follower.DecodeMark(s), w.clock.Now())
		}
	})

	return &messenger.NoteSuspectsResponse{}, nil
}
