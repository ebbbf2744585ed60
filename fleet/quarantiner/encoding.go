package quarantiner

import (
	"encoding/binary"
	"math"

	"cardamompulley/fleet/timekeeper"
)

const (
	suspectIDBytes = 8
	lifetimeBytes  = 2
	crashIDBytes   = 4
	// suspicionHeaderBytes is the size of a suspicion without its crashes: suspect, lifetime in seconds, number of crashes.
	suspicionHeaderBytes = suspectIDBytes + lifetimeBytes + 1
)

// EncodeSuspicions encodes suspicions for another process. All numbers are little-endian.
func EncodeSuspicions(suspicions []Suspicion) []byte {
	var encoded []byte
	for _, s := range suspicions {
		encoded = binary.LittleEndian.AppendUint64(encoded, uint64(s.Suspect))
		encoded = binary.LittleEndian.AppendUint16(encoded, uint16(min(s.ExpiresIn/timekeeper.Second, math.MaxUint16)))
		encoded = append(encoded, byte(len(s.Crashes)))
		for _, c := range s.Crashes {
			encoded = binary.LittleEndian.AppendUint32(encoded, uint32(c))
		}
	}

	return encoded
}

// DecodeSuspicions decodes suspicions and stops at the first incomplete one.
func DecodeSuspicions(encoded []byte) []Suspicion {
	var suspicions []Suspicion
	for len(encoded) >= suspicionHeaderBytes {
		s := Suspicion{
			Suspect:   SuspectID(binary.LittleEndian.Uint64(encoded)),
			ExpiresIn: timekeeper.Millis(binary.LittleEndian.Uint16(encoded[suspectIDBytes:])) * timekeeper.Second,
		}
		crashes := int(encoded[suspectIDBytes+lifetimeBytes])
		encoded = encoded[suspicionHeaderBytes:]
		if len(encoded) < crashes*crashIDBytes {
			break
		}
		for range crashes {
			s.Crashes = append(s.Crashes, CrashID(binary.LittleEndian.Uint32(encoded)))
			encoded = encoded[crashIDBytes:]
		}
		suspicions = append(suspicions, s)
	}

	return suspicions
}
