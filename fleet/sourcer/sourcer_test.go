package sourcer

import (
	"fmt"
	"slices"
	"testing"

	"cardamompulley/fleet/timekeeper"
)

const testBound = 2 * timekeeper.Second

// domainOf returns the addresses of a domain's gateways.
func domainOf(gateways int) []string {
	var addresses []string
	for n := range gateways {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:80", n))
	}

	return addresses
}

// sourceOf returns the source of one gateway of a domain that has run for a while.
func sourceOf(domain []string, self string) string {
	others := slices.DeleteFunc(slices.Clone(domain), func(address string) bool { return address == self })

	return NewSourcer(self, NewTiming(testBound), 0).Source(others, settleTime)
}

// Guards against calls to the store that grow with the number of gateways, and readers with more followers than their traffic bears.
func TestFewGatewaysOfADomainReadTheStore(t *testing.T) {
	cases := map[int]int{1: 1, 2: 2, 3: 2, 6: 2, 10: 2, 11: 3, 17: 4, 82: 17}
	for gateways, want := range cases {
		domain := domainOf(gateways)
		followers := map[string]int{}
		readers := 0
		for _, self := range domain {
			if reader := sourceOf(domain, self); reader != "" {
				followers[reader]++
			} else {
				readers++
			}
		}
		if readers != want {
			t.Errorf("%d gateways: %d read the store, want %d", gateways, readers, want)
		}
		for reader, n := range followers {
			if sourceOf(domain, reader) != "" || n > 4*followersPerReader {
				t.Errorf("%d gateways: %s has %d followers", gateways, reader, n)
			}
		}
	}
}

func TestNewGatewayReadsTheStoreItself(t *testing.T) {
	domain := domainOf(20)
	for _, self := range domain {
		if reader := NewSourcer(self, NewTiming(testBound), 0).Source(domain, settleTime-1); reader != "" {
			t.Fatalf("%s follows %s", self, reader)
		}
	}
}

func TestDistrustedReaderIsNotFollowed(t *testing.T) {
	domain := domainOf(10)
	var self string
	for _, self = range domain {
		if sourceOf(domain, self) != "" {
			break
		}
	}
	others := slices.DeleteFunc(slices.Clone(domain), func(address string) bool { return address == self })
	s := NewSourcer(self, NewTiming(testBound), 0)
	now := settleTime
	first := s.Source(others, now)
	s.Distrust(first, now)
	second := s.Source(others, now)
	if second == first || second == "" {
		t.Fatalf("after %s, %q is followed", first, second)
	}
	s.Distrust(second, now)
	if third := s.Source(others, now); third != "" {
		t.Fatalf("%s is followed though all readers are distrusted", third)
	}
	if again := s.Source(others, now+distrustTime); again != first {
		t.Fatalf("%q is followed after the time of distrust", again)
	}
}

// Guards against a follower that takes the time at which it hears a reader for the time at which the store said so.
func TestOnlyTimelyReadersAreTrusted(t *testing.T) {
	timing := NewTiming(testBound)
	cases := []struct {
		name                        string
		silence, elapsed, suspended timekeeper.Millis
		isTrusted                   bool
	}{
		{"at once", 0, 0, 0, true},
		{"after its wait", timing.ReadWait, timing.FollowWait, 0, true},
		{"the store never answered the reader", -1, 0, 0, false},
		{"the store is silent at the reader", timing.MaxSilence + 1, 0, 0, false},
		{"late", 0, timing.FollowTimeout + 1, 0, false},
		{"late by a suspension of this gateway", 0, 1, timing.FollowTimeout, false},
	}
	for _, c := range cases {
		if got := NewSourcer("a", timing, 0).IsTrusted(c.silence, c.elapsed, c.suspended); got != c.isTrusted {
			t.Errorf("%s: trusted %v", c.name, got)
		}
	}
}

// A follower that looks at the store when its reader fails must have the time to do so.
func TestTimingLeavesTimeToLookAtTheStore(t *testing.T) {
	timing := NewTiming(testBound)
	if worst := timing.MaxSilence + timing.FollowTimeout; worst >= testBound {
		t.Errorf("a reader that loses the store and then stands still is noticed after %d ms of %d", worst, testBound)
	}
	if timing.FollowWait >= timing.FollowTimeout || timing.ReadWait >= timing.MaxSilence {
		t.Errorf("timing %+v", timing)
	}
}
