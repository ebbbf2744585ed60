package worker

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"cardamompulley/fleet/follower"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/placer"
	"cardamompulley/fleet/timekeeper"
)

const (
	holderNoteTimeout    = 500 * timekeeper.Millis(1)
	suspectNoticeTimeout = 100 * timekeeper.Millis(1)
	// noteBatchDelay is the time for which notes are collected before they are sent.
	noteBatchDelay = 10 * timekeeper.Millis(1)
	// maxPendingNotes is the maximum number of notes waiting for one home.
	maxPendingNotes = 1024
)

// recordHolder records that this endpoint holds the prefix of a chat and queues a note to the home of the chat. The note is
// dropped if too many are waiting for that home.
func (w *Worker) recordHolder(j *job) {
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
	w.chatHolders.Record(chat, w.self)
	if home != "" && home != w.self && len(w.pendingNotes[home]) < maxPendingNotes {
		w.pendingNotes[home] = append(w.pendingNotes[home], &messenger.HolderNote{Chat: uint64(chat), Endpoint: string(w.self)})
		select {
		case w.notesQueued <- struct{}{}:
		default:
		}
	}
}

// runNoteSender sends queued notes in batches until the context ends.
func (w *Worker) runNoteSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.notesQueued:
		}
		time.Sleep(noteBatchDelay.Duration())
		w.sendPendingNotes(ctx)
	}
}

// sendPendingNotes sends the queued notes to the homes of their chats.
func (w *Worker) sendPendingNotes(ctx context.Context) {
	s := w.follower.Snapshot()
	if s == nil {
		return
	}
	w.mu.Lock()
	notes := w.pendingNotes
	w.pendingNotes = map[model.EndpointID][]*messenger.HolderNote{}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holderNoteTimeout.Duration())
	defer cancel()
	var g conc.WaitGroup
	for home, batch := range notes {
		address := s.Fleet.Endpoints[home].Address
		if address == "" {
			continue
		}
		g.Go(func() {
			// Errors are ignored: a lost note costs one prefix cache miss.
			_, _ = w.newPeerClient(address).NoteHolders(ctx, &messenger.NoteHoldersRequest{Notes: batch})
		})
	}
	g.Wait()
}

// NoteHolders records which endpoints hold the prefixes of chats whose home is this endpoint.
func (w *Worker) NoteHolders(_ context.Context, r *messenger.NoteHoldersRequest) (*messenger.NoteHoldersResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range r.Notes {
		w.chatHolders.Record(model.ChatKey(n.Chat), model.EndpointID(n.Endpoint))
	}

	return &messenger.NoteHoldersResponse{}, nil
}

// sendSuspectNotices sends encoded suspicions to the sidecars at the addresses. It does so even if ctx has been cancelled.
func (w *Worker) sendSuspectNotices(ctx context.Context, addresses []string, encoded []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), suspectNoticeTimeout.Duration())
	defer cancel()
	request := &messenger.NoteSuspectsRequest{Suspects: encoded}
	var g conc.WaitGroup
	for _, address := range addresses {
		g.Go(func() {
			// Errors are ignored: gossip also carries the suspicions.
			_, _ = w.newPeerClient(address).NoteSuspects(ctx, request)
		})
	}
	g.Wait()
}

// NoteSuspects takes in crashes of requests that may have crashed another endpoint.
func (w *Worker) NoteSuspects(_ context.Context, r *messenger.NoteSuspectsRequest) (*messenger.NoteSuspectsResponse, error) {
	w.follower.WithView(func(v follower.View) { v.Suspects.MergeEncoded(r.Suspects, w.clock.Now()) })

	return &messenger.NoteSuspectsResponse{}, nil
}
