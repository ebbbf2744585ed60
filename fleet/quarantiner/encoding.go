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
	crashAgeBytes  = 2
	// crashAgeUnit is the resolution of encoded ages; maxCrashAge is the highest of them, unknownCrashAge stands for none, and jointEvent
	// is added for a joint event.
	crashAgeUnit    = 20 * timekeeper.Millis(1)
	maxCrashAge     = 0x7ffe
	unknownCrashAge = 0x7fff
	jointEvent      = 0x8000
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

// EncodeCrashAges encodes the ages of the crashes of suspicions, in the order of EncodeSuspicions, in two bytes each.
func EncodeCrashAges(suspicions []Suspicion) []byte {
	var encoded []byte
	for _, s := range suspicions {
		for i := range s.Crashes {
			var age CrashAge
			if i < len(s.Ages) {
				age = s.Ages[i]
			}
			encoded = binary.LittleEndian.AppendUint16(encoded, age.encode())
		}
	}

	return encoded
}

func (a CrashAge) encode() uint16 {
	if !a.IsKnown {
		return unknownCrashAge
	}
	encoded := uint16(min(a.Age/crashAgeUnit, maxCrashAge))
	if a.IsJoint {
		encoded |= jointEvent
	}

	return encoded
}

// DecodeCrashAges adds encoded ages to decoded suspicions. Those without one keep none.
func DecodeCrashAges(suspicions []Suspicion, encoded []byte) {
	for n := range suspicions {
		s := &suspicions[n]
		if len(encoded) < crashAgeBytes*len(s.Crashes) {
			return
		}
		for range s.Crashes {
			s.Ages = append(s.Ages, decodeCrashAge(binary.LittleEndian.Uint16(encoded)))
			encoded = encoded[crashAgeBytes:]
		}
	}
}

func decodeCrashAge(encoded uint16) CrashAge {
	units := encoded &^ jointEvent
	if units == unknownCrashAge {
		return CrashAge{}
	}

	return CrashAge{Age: timekeeper.Millis(units) * crashAgeUnit, IsKnown: true, IsJoint: encoded&jointEvent != 0}
}
