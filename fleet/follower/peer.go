package follower

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
	"cardamompulley/fleet/timekeeper"
)

const (
	// PeerTries is how many peers a turn tries until one answers.
	PeerTries = 3

	compressMinBytes = 512
)

// ErrNotAdmitted is returned to a process whose token the configuration does not name.
var ErrNotAdmitted = errors.New("follower: process not admitted")

func (f *Follower) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		f.beat()
		for _, vm := range f.choosePeers() {
			if f.exchangeWith(ctx, vm) {
				break
			}
		}
		f.waitTurn(ctx)
	}
}

func (f *Follower) beat() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptor.Starter.Beat(f.Clock.Now())
}

func (f *Follower) waitTurn(ctx context.Context) {
	t := time.NewTimer(f.jitter(exchangeInterval).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.hurry:
	}
}

// choosePeers returns the peers to try in turn until one answers, none while the budget is spent.
func (f *Follower) choosePeers() []model.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	total := f.Control.Total()
	f.budget.Spend(int(total-f.spent), now)
	f.spent = total
	if !f.budget.Allows(now) {
		return nil
	}
	var peers []model.VM
	for _, i := range f.chooser.Pick(f.vms, f.self.ID, PeerTries) {
		peers = append(peers, f.vms[i])
	}

	return peers
}

func (f *Follower) exchangeWith(ctx context.Context, vm model.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	client := messengerconnect.NewPeerClient(f.peers, "http://"+vm.Address, PeerClientOptions(f.settings.Token)...)
	f.mu.Lock()
	request := f.news()
	f.mu.Unlock()
	response, err := client.Exchange(ctx, request)
	if err != nil {
		f.Log.Write(logger.EventPeerFailed, logger.String("peer", vm.ID), logger.Err(err))

		return false
	}
	if f.learn(response) {
		f.fetchFrom(ctx, client)
	}
	f.mu.Lock()
	f.acceptor.Starter.HeardPeer(vm.ID)
	f.mu.Unlock()

	return true
}

// news describes this process's view; the caller holds the lock.
func (f *Follower) news() *messenger.ExchangeRequest {
	now := f.Clock.Now()
	request := &messenger.ExchangeRequest{Process: f.self.ID, Condemned: Marks(f.register.Share(now))}
	if current := f.acceptor.Current(); current != nil {
		request.ConfigurationVersion = uint64(current.Version)
		request.ConfigurationHash = current.Hash
	}
	request.Vector = f.table.Encode(now, nil)

	return request
}

type newsMessage interface {
	GetConfigurationVersion() uint64
	GetConfigurationHash() uint64
	GetVector() []byte
	GetCondemned() []*messenger.Condemned
}

// learn merges a peer's view and tells whether the peer holds a configuration worth fetching.
func (f *Follower) learn(m newsMessage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for _, c := range m.GetCondemned() {
		f.register.Learn(MarkOf(c), now)
	}
	wanted, verdict := f.acceptor.Wants(model.Version(m.GetConfigurationVersion()), m.GetConfigurationHash())
	if verdict == configurator.VerdictConflict {
		f.Log.Write(logger.EventConfigConflict, logger.Int("version", m.GetConfigurationVersion()))
	}
	if verdict == configurator.VerdictSame && len(m.GetVector()) > 0 {
		if err := f.table.Merge(m.GetVector(), now); err != nil {
			f.Log.Write(logger.EventPeerFailed, logger.Err(err))
		}
	}

	return wanted
}

func (f *Follower) fetchFrom(ctx context.Context, client messengerconnect.PeerClient) {
	above := uint64(0)
	if s := f.Snapshot(); s != nil {
		above = uint64(s.Version)
	}
	response, err := client.FetchValues(ctx, &messenger.FetchValuesRequest{AboveVersion: above})
	if err != nil || len(response.Manifest) == 0 {
		return
	}
	manifest := response.Manifest
	err = f.fetch(ctx, manifest, func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		values, err := client.FetchValues(ctx, &messenger.FetchValuesRequest{Hashes: hashes})
		if err != nil {
			return nil, err
		}

		return values.Values, nil
	})
	if err != nil {
		f.Log.Write(logger.EventPeerFailed, logger.Err(err))
	}
}

// Marks converts marks for the wire.
func Marks(marks []quarantiner.Mark) []*messenger.Condemned {
	converted := make([]*messenger.Condemned, 0, len(marks))
	for _, m := range marks {
		converted = append(converted, &messenger.Condemned{
			Fingerprint: uint64(m.Fingerprint),
			Crashes:     uint32(m.Crashes),
			ExpiresInMs: uint32(m.ExpiresIn),
		})
	}

	return converted
}

// MarkOf converts a mark from the wire.
func MarkOf(c *messenger.Condemned) quarantiner.Mark {
	return quarantiner.Mark{
		Fingerprint: model.Fingerprint(c.Fingerprint),
		Crashes:     int(c.Crashes),
		ExpiresIn:   timekeeper.Millis(c.ExpiresInMs),
	}
}

// peerHandler answers the exchanges of other processes.
type peerHandler struct {
	f *Follower
}

// PeerHandler returns the path and handler of the Peer service.
func (f *Follower) PeerHandler() (string, http.Handler) {
	admission := connect.WithInterceptors(f.Admission(model.RoleRouter, model.RoleSidecar, model.RoleOperator))

	return messengerconnect.NewPeerHandler(peerHandler{f: f}, append(CompressionOptions(), admission)...)
}

// PeerClientOptions are the options of every client of the Peer service.
func PeerClientOptions(token string) []connect.ClientOption {
	return []connect.ClientOption{
		WithToken(token), connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes),
	}
}

// CompressionOptions are the options of every handler of the Peer service.
func CompressionOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxPeerMessageBytes),
	}
}

const maxPeerMessageBytes = 16 << 20

// Exchange trades views with one peer.
func (h peerHandler) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	if h.f.learn(r) {
		h.f.Hurry()
	}
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	n := h.f.news()

	return &messenger.ExchangeResponse{
		Process:              n.Process,
		ConfigurationVersion: n.ConfigurationVersion,
		ConfigurationHash:    n.ConfigurationHash,
		Vector:               n.Vector,
		Condemned:            n.Condemned,
	}, nil
}

// FetchValues returns the manifest in force if it is newer, or values by hash.
func (h peerHandler) FetchValues(_ context.Context, r *messenger.FetchValuesRequest) (*messenger.FetchValuesResponse, error) {
	s := h.f.Snapshot()
	response := &messenger.FetchValuesResponse{Values: map[string][]byte{}}
	if s == nil {
		return response, nil
	}
	if len(r.Hashes) == 0 && uint64(s.Version) > r.AboveVersion {
		response.Manifest = s.Manifest
	}
	for _, hash := range r.Hashes {
		if value, ok := s.Values[hash]; ok {
			response.Values[hash] = value
		}
	}

	return response, nil
}

const bearerPrefix = "Bearer "

// WithToken sends a process token with every call.
func WithToken(token string) connect.ClientOption {
	return connect.WithInterceptors(tokenSender(bearerPrefix + token))
}

// Admission lets only processes of the given roles call.
func (f *Follower) Admission(roles ...model.Role) connect.Interceptor {
	return admission{f: f, roles: roles}
}

func (f *Follower) admit(header http.Header, roles []model.Role) error {
	s := f.Snapshot()
	if s == nil {
		return connect.NewError(connect.CodeUnavailable, ErrNotAdmitted)
	}
	token, ok := strings.CutPrefix(header.Get("Authorization"), bearerPrefix)
	if !ok || !s.AdmitsProcess(token, roles...) {
		f.Log.Write(logger.EventPeerRefused)

		return connect.NewError(connect.CodePermissionDenied, ErrNotAdmitted)
	}

	return nil
}
