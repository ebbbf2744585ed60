package resumer

import (
	"slices"

	"cardamompulley/fleet/model"
)

// Testimony is what a gateway knows of a stream that a caller resumes.
type Testimony struct {
	// IsKnown is true if the gateway knows the origin of the stream; Software is then the version that began it, empty if that is
	// not certain.
	IsKnown  bool
	Software model.SoftwareVersion
	// Seen are the versions that the gateway knows to have served since the stream can have begun. An empty one is unknown.
	Seen []model.SoftwareVersion
	// IsComplete is true if Seen misses no version up to the last answer of the store.
	IsComplete bool
	// IsFresh is true if the store has answered since the caller resumes the stream.
	IsFresh bool
}

// Resolve returns the version at which a stream has to go on, from what gateways know of it, or false if that cannot be known.
// unanswered is the number of gateways that were asked in vain: they may know newer versions than a list that is not fresh.
func Resolve(testimonies []Testimony, unanswered int) (model.SoftwareVersion, bool) {
	if software, isKnown := knownOrigin(testimonies); isKnown {
		return software, software != ""
	}
	software, isSole := soleVersion(testimonies)
	if !isSole {
		return "", false
	}
	// A fresh list beside another gateway's whole history proves nothing: what came and left in between is in neither.
	for _, t := range testimonies {
		if t.IsComplete && (t.IsFresh || unanswered == 0) {
			return software, true
		}
	}

	return "", false
}

// knownOrigin returns the version that began the stream by all testimonies that know it, empty if they differ, or false if none
// knows it.
func knownOrigin(testimonies []Testimony) (software model.SoftwareVersion, isKnown bool) {
	for _, t := range testimonies {
		switch {
		case !t.IsKnown:
		case !isKnown:
			software, isKnown = t.Software, true
		case t.Software != software:
			software = ""
		}
	}

	return software, isKnown
}

// soleVersion returns the version that all testimonies have seen, or false if there are several or unknown ones.
func soleVersion(testimonies []Testimony) (model.SoftwareVersion, bool) {
	var seen []model.SoftwareVersion
	for _, t := range testimonies {
		seen = append(seen, t.Seen...)
	}
	slices.Sort(seen)
	seen = slices.Compact(seen)
	if len(seen) != 1 || seen[0] == "" {
		return "", false
	}

	return seen[0], true
}
