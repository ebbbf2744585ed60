package quarantiner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

// SuspectID is the hash of something that may crash endpoints.
type SuspectID uint64

// SuspectKind is what a suspect is.
type SuspectKind string

// Kinds of suspects.
const (
	// KindRequest is a whole request, the same each time that its caller sends it.
	KindRequest SuspectKind = "request"
	// KindPart is a prompt part, which requests that are otherwise different share.
	KindPart SuspectKind = "part"
)

const (
	// requestThreshold and partThreshold are the numbers of crashes after which a gateway refuses a request, and all requests with
	// a part. They are higher than QuarantineThreshold because a gateway cannot run suspects in isolation.
	requestThreshold = 3
	partThreshold    = 5
	// minRequestThreshold and minPartThreshold apply to a gateway that hears from few others. A part needs more than one crash,
	// since sound requests may share it.
	minRequestThreshold = 1
	minPartThreshold    = 2
)

// Suspect is something in a request that may crash endpoints.
type Suspect struct {
	ID   SuspectID
	Kind SuspectKind
}

// NewRequestSuspect returns the suspect of a whole request, from all that tells it from others.
func NewRequestSuspect(method, host, requestURI string, account model.AccountID, body []byte) Suspect {
	digest := xxhash.New()
	for _, field := range []string{method, host, requestURI, string(account)} {
		// Writing to a hash never returns an error.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)

	return Suspect{ID: SuspectID(digest.Sum64()), Kind: KindRequest}
}

// NewPartSuspect returns the suspect of a prompt part that a model reads.
func NewPartSuspect(m model.ModelID, part uint64) Suspect {
	digest := xxhash.New()
	// Writing to a hash never returns an error.
	_, _ = digest.WriteString(string(m))
	_, _ = digest.Write(binary.LittleEndian.AppendUint64([]byte{0}, part))

	return Suspect{ID: SuspectID(digest.Sum64()), Kind: KindPart}
}

// Threshold returns the number of crashes after which requests with the suspect are refused.
func (s Suspect) Threshold() int {
	if s.Kind == KindPart {
		return partThreshold
	}

	return requestThreshold
}

// minThreshold returns the lowest threshold of a gateway that hears from few others.
func (s Suspect) minThreshold() int {
	if s.Kind == KindPart {
		return minPartThreshold
	}

	return minRequestThreshold
}

// CrashID identifies a crash for all gateways, whichever of them see it.
type CrashID uint32

// NewCrashID returns the ID of the crash that ends an endpoint's process, which has started at startedAt.
func NewCrashID(id model.EndpointID, startedAt timekeeper.Millis) CrashID {
	digest := xxhash.New()
	// Writing to a hash never returns an error.
	_, _ = digest.WriteString(string(id))
	_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(startedAt)))

	return CrashID(digest.Sum64())
}
