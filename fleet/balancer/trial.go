package balancer

import "cardamompulley/fleet/timekeeper"

// chooseTrial returns an outlier that is due for a trial request, or nil. Only a request that may run more than once
// and has not failed yet is used. A request of a session goes only to the endpoint ranked first for the session, because
// any other endpoint would have to process the prompt just for the trial.
func (b *Balancer) chooseTrial(set candidateSet, r Request, now timekeeper.Millis) *Choice {
	if !r.CanRepeat || len(r.Tried) > 0 || len(set.outliers) == 0 {
		return nil
	}
	preferred := highestScore(append(set.candidates[:len(set.candidates):len(set.candidates)], set.outliers...),
		func(*candidate) bool { return true })
	for _, c := range set.outliers {
		if r.Session != 0 && c.endpoint != preferred.endpoint {
			continue
		}
		if b.Outliers.AllowTrial(c.endpoint.ID, now) {
			chosen := set.choice(&c, ReasonTrial)

			return &chosen
		}
	}

	return nil
}
