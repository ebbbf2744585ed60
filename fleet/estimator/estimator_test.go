package estimator

import (
	"math"
	"math/rand/v2"
	"testing"

	"cardamompulley/fleet/model"
	"cardamompulley/fleet/timekeeper"
)

const (
	testService = model.ServiceID("engine")
	testFixed   = 40.0
	testPerRead = 1 / 60.0
	testFetched = 1 / 400.0
)

func process(id model.EndpointID) model.EndpointProcess {
	return model.EndpointProcess{ID: id, StartedAt: 1}
}

// trueTime returns the time that work takes at the usual speed.
func trueTime(w Work) float64 {
	return testFixed + testPerRead*float64(w.Read) + testFetched*float64(w.Fetched)
}

// answer lets an estimator learn from an answer at an endpoint that is slowed and tells so or not.
func answer(e *Estimator, id model.EndpointID, w Work, slowdown, told float64, now timekeeper.Millis) {
	x := e.Expect(testService, process(id), w, now)
	e.RecordFirst(Answer{
		Service: testService, Endpoint: process(id), Work: w, Expected: x, Took: timekeeper.Millis(trueTime(w) * slowdown), Slowdown: told,
	}, now)
}

// train lets an estimator learn from mixed answers of endpoints of usual speed, of which a share takes ten times as long.
func train(e *Estimator, odd float64) {
	r := rand.New(rand.NewPCG(1, 2))
	for n := range 600 {
		w := []Work{{Read: 100}, {Read: 10_000}, {Read: 300, Fetched: 9000}}[n%3]
		slowdown := 1.0
		if r.Float64() < odd {
			slowdown = 10
		}
		answer(e, "old", w, slowdown, 0, timekeeper.Millis(n))
	}
}

// Guards against forecasts that follow the few answers that packet loss or a crash has held up.
func TestForecastBearsWithOddAnswers(t *testing.T) {
	e := NewEstimator()
	train(e, 0.2)
	for _, w := range []Work{{Read: 100}, {Read: 10_000}, {Read: 30_000}, {Read: 300, Fetched: 20_000}} {
		x := e.Expect(testService, process("new"), w, 1000)
		if want := trueTime(w); !x.IsKnown || math.Abs(float64(x.First)-want) > 0.1*want {
			t.Errorf("%+v: expected %d ms, want about %.0f", w, x.First, want)
		}
	}
	if meanError, ok := e.Error(testService); !ok || meanError <= 0 || meanError > 0.4 {
		t.Errorf("mean error %.2f, %t", meanError, ok)
	}
}

// A gateway that has just started forecasts nothing, and nothing after answers of one kind only.
func TestNothingIsForecastBeforeItIsLearnt(t *testing.T) {
	e := NewEstimator()
	for n := range 100 {
		answer(e, "a", Work{Read: 100}, 1, 1, timekeeper.Millis(n))
	}
	if x := e.Expect(testService, process("a"), Work{Read: 100}, 100); x != (Expectation{}) {
		t.Fatalf("forecast %+v", x)
	}
	if _, ok := e.Error("other"); ok {
		t.Fatal("error of forecasts that were not made")
	}
}

// A slowdown that was told counts at once, less with its age, and not at all for another process under the same ID.
func TestSlowdownFadesWithItsAge(t *testing.T) {
	e := NewEstimator()
	train(e, 0)
	w := Work{Read: 10_000}
	answer(e, "a", w, 2.5, 2.5, 10_000)
	usual := e.Expect(testService, process("b"), w, 10_000).First
	fresh := e.Expect(testService, process("a"), w, 10_000).First
	older := e.Expect(testService, process("a"), w, 10_300).First
	stale := e.Expect(testService, process("a"), w, 10_000+maxFigureAge).First
	if ratio := float64(fresh) / float64(usual); ratio < 2.4 || ratio > 2.6 {
		t.Errorf("a fresh slowdown of 2.5 changes the forecast by %.2f", ratio)
	}
	if fresh <= older || older <= stale || stale != usual {
		t.Errorf("forecasts %d, %d, %d; as usual %d", fresh, older, stale, usual)
	}
	restarted := model.EndpointProcess{ID: "a", StartedAt: 2}
	if got := e.Expect(testService, restarted, w, 10_000).First; got != usual {
		t.Errorf("another process is expected to take %d ms, as usual %d", got, usual)
	}
}

// Endpoints that stop telling their slowdown, or tell nonsense that is decoded to none, are told by the time of two answers.
func TestSlowdownIsInferredWhereNoneIsTold(t *testing.T) {
	e := NewEstimator()
	train(e, 0)
	w := Work{Read: 10_000}
	usual := e.Expect(testService, process("b"), w, 10_000).First
	answer(e, "a", w, 2.5, 0, 10_000)
	if got := e.Expect(testService, process("a"), w, 10_000).First; got != usual {
		t.Errorf("one late answer makes the forecast %d ms, as usual %d", got, usual)
	}
	answer(e, "a", w, 2.5, 0, 10_000)
	if ratio := float64(e.Expect(testService, process("a"), w, 10_000).First) / float64(usual); ratio < 2.2 || ratio > 2.8 {
		t.Errorf("answers that took 2.5 times as long change the forecast by %.2f", ratio)
	}
	answer(e, "a", w, 1000, 0, 10_000)
	answer(e, "a", w, 1000, 0, 10_000)
	if got := e.Expect(testService, process("a"), w, 10_000).First; float64(got) > maxRatio*float64(usual)+1 {
		t.Errorf("very late answers make the forecast %d ms, as usual %d", got, usual)
	}
}

// How long a figure is believed follows from how long slowdowns last.
func TestMemoryFollowsTheLengthOfSlowdowns(t *testing.T) {
	learnt := func(length timekeeper.Millis) float64 {
		e := NewEstimator()
		train(e, 0)
		r := rand.New(rand.NewPCG(3, 4))
		for now := timekeeper.Millis(0); now < 400*timekeeper.Second; now += timekeeper.Millis(20 + r.IntN(200)) {
			slowdown := 1.0
			if now%(5*length) < length {
				slowdown = 2.5
			}
			answer(e, "a", Work{Read: 100}, slowdown, slowdown, now)
		}

		return e.memory.millis
	}
	short, long := learnt(100), learnt(3000)
	if short > 200 || long < 1000 {
		t.Errorf("memory of slowdowns of 100 ms: %.0f ms, of 3000 ms: %.0f ms", short, long)
	}
}

// Work that this gateway has sent to an endpoint comes before that of the next request, and is done some time.
func TestWorkInProgressComesFirst(t *testing.T) {
	e := NewEstimator()
	train(e, 0)
	long, short := Work{Read: 10_000}, Work{Read: 100}
	alone := e.Expect(testService, process("a"), short, 0).First
	x := e.Expect(testService, process("a"), long, 0)
	e.RecordStart(process("a"), x, 0)
	if behind := e.Expect(testService, process("a"), short, 0).First; behind != alone+x.Work {
		t.Errorf("expected %d ms behind work of %d ms, alone %d", behind, x.Work, alone)
	}
	if after := e.Expect(testService, process("a"), short, x.Work).First; after != alone {
		t.Errorf("expected %d ms after the work, alone %d", after, alone)
	}
	e.Prune(func(model.EndpointProcess) bool { return false })
	if len(e.endpoints) != 0 {
		t.Errorf("%d endpoints after Prune", len(e.endpoints))
	}
}

// A request that an endpoint refuses, or that ends before the endpoint has begun to answer, leaves no work there.
func TestWorkThatHasNotBegunIsTakenBack(t *testing.T) {
	e := NewEstimator()
	train(e, 0)
	w := Work{Read: 10_000}
	idle := e.Expect(testService, process("new"), w, 1000)
	for range 20 {
		x := e.Expect(testService, process("new"), w, 1000)
		e.RecordStart(process("new"), x, 1000)
		e.RecordNotBegun(process("new"), x)
	}
	if x := e.Expect(testService, process("new"), w, 1000); x.First != idle.First {
		t.Errorf("after 20 refused requests %d ms are expected, want %d", x.First, idle.First)
	}
	e.RecordNotBegun(process("gone"), idle)
	if len(e.endpoints) != 2 {
		t.Errorf("%d endpoints are known, want those of the training and of this test", len(e.endpoints))
	}
}

// A caller that states a prompt of any length neither keeps others from an endpoint that has answered it nor makes times overflow.
func TestStatedLengthOfAnySizeKeepsNobodyAway(t *testing.T) {
	e := NewEstimator()
	train(e, 0)
	usual := e.Expect(testService, process("new"), Work{Read: 100}, 1000)
	for n, tokens := range []model.Tokens{10_000_000, 1 << 47, math.MaxInt64} {
		now := 1000 + 100*timekeeper.Millis(n)
		w := Work{Read: tokens, Fetched: tokens}
		x := e.Expect(testService, process("new"), w, now)
		if x.First <= 0 || x.Work <= 0 || x.First > 2*maxForecast {
			t.Fatalf("%d tokens: %+v", tokens, x)
		}
		e.RecordStart(process("new"), x, now)
		e.RecordFirst(Answer{Service: testService, Endpoint: process("new"), Work: w, Expected: x, Took: 60, Slowdown: 1}, now+60)
		if after := e.Expect(testService, process("new"), Work{Read: 100}, now+60); after.First > 2*usual.First {
			t.Errorf("%d tokens: %d ms are expected of the next request, want about %d", tokens, after.First, usual.First)
		}
	}
}
