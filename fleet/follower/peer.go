package follower

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"cardamompulley/fleet/configurator"
	"cardamompulley/fleet/logger"
	"cardamompulley/fleet/messenger"
	"cardamompulley/fleet/messenger/messengerconnect"
	"cardamompulley/fleet/model"
	"cardamompulley/fleet/quarantiner"
)

const (
	// MaxPeerAttempts is the maximum number of peers that one exchange tries until one answers.
	MaxPeerAttempts = 3

	compressMinBytes = 512
	// maxSuspectBytes is the maximum size of the suspects in one message.
	maxSuspectBytes = 480
)

// ErrNotAdmitted is returned to a caller whose token does not belong to a process with a permitted role, and to every caller
// while there is no configuration.
var ErrNotAdmitted = errors.New("follower: process not admitted")

// exchangeWithPeers exchanges views with one peer per interval until the context ends.
func (f *Follower) exchangeWithPeers(ctx context.Context) {
	for ctx.Err() == nil {
		f.tickReadiness()
		for _, vm := range f.selectPeers() {
			if f.exchangeWith(ctx, vm) {
				break
			}
		}
		f.waitForNextExchange(ctx)
	}
}

func (f *Follower) tickReadiness() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acceptor.Readiness.Tick(f.Clock.Now())
}

func (f *Follower) waitForNextExchange(ctx context.Context) {
	t := time.NewTimer(f.jitter(exchangeInterval).Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-f.exchangeNow:
	}
}

// selectPeers returns the peers to try in order until one answers, or none while the budget for control traffic is spent.
func (f *Follower) selectPeers() []model.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	total := f.ControlTraffic.Total()
	f.budget.Spend(int(total-f.countedBytes), now)
	f.countedBytes = total
	if !f.budget.CanSpend(now) {
		return nil
	}
	var peers []model.VM
	for _, i := range f.peerSelector.Select(f.vms, f.self.ID, MaxPeerAttempts) {
		peers = append(peers, f.vms[i])
	}

	return peers
}

func (f *Follower) exchangeWith(ctx context.Context, vm model.VM) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout.Duration())
	defer cancel()
	client := messengerconnect.NewPeerClient(f.peerClient, "http://"+vm.Address, PeerClientOptions(f.settings.Token)...)
	f.mu.Lock()
	request := f.exchangeRequest()
	f.mu.Unlock()
	response, err := client.Exchange(ctx, request)
	if err != nil {
		f.Log.Write(logger.EventPeerExchangeFailed, logger.String("peer", vm.ID), logger.Err(err))

		return false
	}
	if f.mergePeerState(response) {
		f.fetchConfigurationFrom(ctx, client)
	}
	f.mu.Lock()
	f.acceptor.Readiness.RecordPeer(vm.ID)
	f.mu.Unlock()

	return true
}

// exchangeRequest returns this process's view as a message. The caller must hold f.mu.
func (f *Follower) exchangeRequest() *messenger.ExchangeRequest {
	now := f.Clock.Now()
	request := &messenger.ExchangeRequest{
		Process:  f.self.ID,
		Suspects: quarantiner.EncodeSuspicions(f.suspects.Share(maxSuspectBytes, now)),
	}
	if current := f.acceptor.Current(); current != nil {
		request.ConfigurationVersion = uint64(current.Version)
		request.ConfigurationHash = current.Hash
	}
	request.Vector = f.loadTable.Encode(now, nil)

	return request
}

// peerState is implemented by ExchangeRequest and ExchangeResponse.
type peerState interface {
	GetConfigurationVersion() uint64
	GetConfigurationHash() uint64
	GetVector() []byte
	GetSuspects() []byte
}

// mergePeerState merges a peer's view into this one and reports whether the peer's configuration should be fetched.
func (f *Follower) mergePeerState(m peerState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.suspects.MergeEncoded(m.GetSuspects(), now)
	shouldFetch, verdict := f.acceptor.ShouldFetch(model.Version(m.GetConfigurationVersion()), m.GetConfigurationHash())
	if verdict == configurator.VerdictConflict {
		f.Log.Write(logger.EventConfigConflict, logger.Int("version", m.GetConfigurationVersion()))
	}
	if verdict == configurator.VerdictSame && len(m.GetVector()) > 0 {
		if err := f.loadTable.Merge(m.GetVector(), now); err != nil {
			f.Log.Write(logger.EventPeerExchangeFailed, logger.Err(err))
		}
	}

	return shouldFetch
}

func (f *Follower) fetchConfigurationFrom(ctx context.Context, client messengerconnect.PeerClient) {
	above := uint64(0)
	if s := f.Snapshot(); s != nil {
		above = uint64(s.Version)
	}
	response, err := client.FetchValues(ctx, &messenger.FetchValuesRequest{AboveVersion: above})
	if err != nil || len(response.Manifest) == 0 {
		return
	}
	manifest := response.Manifest
	err = f.fetchMissingValues(ctx, manifest, func(ctx context.Context, hashes []string) (map[string][]byte, error) {
		return fetchValues(ctx, client, hashes)
	})
	if err != nil {
		f.Log.Write(logger.EventPeerExchangeFailed, logger.Err(err))
	}
}

// fetchValues returns the values with the given hashes that a peer has, keyed by hash.
func fetchValues(ctx context.Context, client messengerconnect.PeerClient, hashes []string) (map[string][]byte, error) {
	values := make(map[string][]byte, len(hashes))
	for batch := range slices.Chunk(hashes, maxValuesPerMessage) {
		response, err := client.FetchValues(ctx, &messenger.FetchValuesRequest{Hashes: batch})
		if err != nil {
			return nil, err
		}
		maps.Copy(values, response.Values)
	}

	return values, nil
}

// peerHandler implements the Peer service, which other processes call.
type peerHandler struct {
	f *Follower
}

// PeerHandler returns the path and the handler of the Peer service, which authorizes its callers.
func (f *Follower) PeerHandler() (string, http.Handler) {
	auth := connect.WithInterceptors(f.AuthInterceptor(model.RoleRouter, model.RoleSidecar, model.RoleOperator))

	return messengerconnect.NewPeerHandler(peerHandler{f: f}, append(PeerHandlerOptions(), auth)...)
}

// PeerClientOptions returns the options for clients of the Peer service: authentication with the token, compression and a limit on the
// message size.
func PeerClientOptions(token string) []connect.ClientOption {
	return []connect.ClientOption{
		WithToken(token), connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxPeerMessageBytes),
	}
}

// PeerHandlerOptions returns the options for handlers of the Peer service: compression and a limit on the message size.
func PeerHandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxPeerMessageBytes),
	}
}

const (
	maxPeerMessageBytes = 16 << 20
	// maxValuesPerMessage is how many values of the greatest size fit into a message, with room for what is around them.
	maxValuesPerMessage = maxPeerMessageBytes/configurator.MaxValueBytes - 1
)

// Exchange merges the peer's view and returns this process's view.
func (h peerHandler) Exchange(_ context.Context, r *messenger.ExchangeRequest) (*messenger.ExchangeResponse, error) {
	if h.f.mergePeerState(r) {
		h.f.TriggerExchange()
	}
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	own := h.f.exchangeRequest()

	return &messenger.ExchangeResponse{
		Process:              own.Process,
		ConfigurationVersion: own.ConfigurationVersion,
		ConfigurationHash:    own.ConfigurationHash,
		Vector:               own.Vector,
		Suspects:             own.Suspects,
	}, nil
}

// FetchValues returns the values with the requested hashes or, if none are requested, the manifest if its version is higher
// than the given one.
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

// WithToken returns a client option that sends a process token as bearer token with every call.
func WithToken(token string) connect.ClientOption {
	return connect.WithInterceptors(tokenInterceptor(bearerPrefix + token))
}

// AuthInterceptor returns an interceptor that rejects calls of processes without one of the given roles.
func (f *Follower) AuthInterceptor(roles ...model.Role) connect.Interceptor {
	return authInterceptor{f: f, roles: roles}
}

func (f *Follower) authorize(header http.Header, roles []model.Role) error {
	s := f.Snapshot()
	if s == nil {
		return connect.NewError(connect.CodeUnavailable, ErrNotAdmitted)
	}
	token, ok := strings.CutPrefix(header.Get("Authorization"), bearerPrefix)
	if !ok || !s.IsProcessAuthorized(token, roles...) {
		f.Log.Write(logger.EventProcessRefused)

		return connect.NewError(connect.CodePermissionDenied, ErrNotAdmitted)
	}

	return nil
}
