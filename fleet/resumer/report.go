package resumer

import "cardamompulley/fleet/model"

// Report is what a gateway knows of a stream that a caller resumes.
type Report struct {
	// IsKnown is true if the gateway knows the origin of the stream; Software is then the version that began it, empty if that is
	// not certain.
	IsKnown  bool
	Software model.SoftwareVersion
	// Seen are the versions that the gateway knows to have served since the stream can have begun. An empty one is unknown.
	Seen []model.SoftwareVersion
	// IsComplete is true if Seen misses no version up to the last answer of the store.
	IsComplete bool
	// IsFresh is true if the store has answered since the caller came to resume the stream.
	IsFresh bool
}

// Resolve returns the version at which a stream has to go on, from what gateways know of it, or false if that cannot be known.
// unanswered is the number of gateways that were asked in vain: they may know newer versions than a list that is not fresh.
func Resolve(reports []Report, unanswered int) (model.SoftwareVersion, bool) {
	if software, isKnown := knownOrigin(reports); isKnown {
		return software, software != ""
	}
	var seen []model.SoftwareVersion
	for _, r := range reports {
		seen = append(seen, r.Seen...)
	}
	software, isSole := SoleVersion(seen)
	if !isSole {
		return "", false
	}
	// A fresh list beside another gateway's whole history proves nothing: what came and left in between is in neither.
	for _, r := range reports {
		if r.IsComplete && (r.IsFresh || unanswered == 0) {
			return software, true
		}
	}

	return "", false
}

// knownOrigin returns the version that began the stream by all reports that know it, empty if they differ, or false if none
// knows it.
func knownOrigin(reports []Report) (software model.SoftwareVersion, isKnown bool) {
	for _, r := range reports {
		switch {
		case !r.IsKnown:
		case !isKnown:
			software, isKnown = r.Software, true
		case r.Software != software:
			software = ""
		}
	}

	return software, isKnown
}

// SoleVersion returns the only version among some, which may repeat. It returns false if there are several, none, or an unknown one.
func SoleVersion(versions []model.SoftwareVersion) (model.SoftwareVersion, bool) {
	if len(versions) == 0 || versions[0] == "" {
		return "", false
	}
	for _, v := range versions {
		if v != versions[0] {
			return "", false
		}
	}

	return versions[0], true
}
