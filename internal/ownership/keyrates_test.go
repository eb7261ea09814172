package ownership

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ratesStep = 100 * time.Millisecond

// playRates counts random requests for some time at a rate a key, and returns the time at the end.
func playRates(random *rand.Rand, rates *KeyRates, from, duration time.Duration, rate func(key int) float64, keys int) time.Duration {
	for now := from; now < from+duration; now += ratesStep {
		rates.Advance(now)
		for key := range keys {
			expected := rate(key) * ratesStep.Seconds()
			for expected > 0 && random.Float64() < expected {
				rates.Add(key, 1)
				expected--
			}
		}
	}
	return from + duration
}

// Guards against keys that move all the time because the load of servers is told from few requests: 330 servers with some
// five requests a second each and an even load, as in a large fleet on a calm day.
func TestEvenLoadMovesFewKeys(t *testing.T) {
	const servers, keysPerServer, keys = 330, 20, 330 * 20
	random := rand.New(rand.NewPCG(5, 6))
	rates := NewKeyRates(keys)
	planner := NewPlanner(PlannerSettings{Keys: keys, Tolerance: 1.25, IdleUtilization: 0.4, MaxMoves: 8, MinRate: 5})
	var candidates []Candidate
	var rows []Row
	for i := range servers {
		holder := Holder{ID: string(rune('a' + i))}
		candidates = append(candidates, Candidate{Holder: holder, Capacity: 8})
		rows = append(rows, Row{Keys: Keys{First: i * keysPerServer, Last: (i+1)*keysPerServer - 1}, Owner: holder, Confirmed: true})
	}
	even := func(int) float64 { return 5.0 / keysPerServer }
	now := playRates(random, rates, 0, 10*time.Second, even, keys)
	moved := 0
	for range 10 {
		now = playRates(random, rates, now, time.Second, even, keys)
		for _, move := range planner.Plan(rows, candidates, rates) {
			moved += move.Keys.Count()
		}
	}
	if share := float64(moved) / 10 / keys; share > 0.01 {
		t.Errorf("%.3f of the keys move in a plan under an even load", share)
	}
}

// Guards against a hot key that stays where it is until a slow average shows it, and one that counts as hot for long after.
func TestHotKeyShowsSoon(t *testing.T) {
	const keys, hot, hotRate = 100, 7, 170
	random := rand.New(rand.NewPCG(7, 8))
	rates := NewKeyRates(keys)
	calm := func(int) float64 { return 0.2 }
	now := playRates(random, rates, 0, 20*time.Second, calm, keys)
	now = playRates(random, rates, now, time.Second, func(key int) float64 {
		if key == hot {
			return hotRate
		}
		return 0.2
	}, keys)
	if got := rates.Rate(hot); got < 0.3*hotRate {
		t.Errorf("rate %.1f after a second, requested %d times a second", got, hotRate)
	}
	playRates(random, rates, now, 4*time.Second, calm, keys)
	if got := rates.Rate(hot); got > 0.1*hotRate {
		t.Errorf("rate %.1f four seconds after the key was hot", got)
	}
}

// Guards against busy neighbours that stay on one server until a slow average shows them: 200 of them get some three requests a
// second each, which tells nothing about one of them.
func TestBusyNeighboursShowSoon(t *testing.T) {
	const keys, first, count, busyRate = 2000, 700, 200, 3.2
	random := rand.New(rand.NewPCG(9, 10))
	rates := NewKeyRates(keys)
	calm := func(int) float64 { return 0.05 }
	busy := func(key int) float64 {
		if key >= first && key < first+count {
			return busyRate
		}
		return 0.05
	}
	measured := func() float64 {
		sum := 0.0
		for key := first; key < first+count; key++ {
			sum += rates.Rate(key)
		}
		return sum / count
	}
	now := playRates(random, rates, 0, 20*time.Second, calm, keys)
	now = playRates(random, rates, now, time.Second, busy, keys)
	if got := measured(); got < 0.4*busyRate {
		t.Errorf("%.2f requests a second and key after a second, requested %v", got, busyRate)
	}
	playRates(random, rates, now, 3*time.Second, calm, keys)
	if got := measured(); got > 0.15*busyRate {
		t.Errorf("%.2f requests a second and key three seconds after they were busy", got)
	}
}

// Guards against rates that are no numbers: without any requests at a time, in a block that was busy, and at the start. With one
// such key, a plan splits keys into ranges of one key each.
func TestRatesAreNumbers(t *testing.T) {
	const keys, busy = 3 * blockKeys, blockKeys + 5
	rates := NewKeyRates(keys)
	for step := range 400 {
		if step < 40 {
			rates.Add(busy, 1)
		}
		rates.Advance(time.Duration(step) * 97 * time.Millisecond)
		for key := range keys {
			rate := rates.Rate(key)
			if math.IsNaN(rate) || rate < 0 || key != busy && rate > 0 {
				t.Fatalf("step %d: key %d has the rate %v", step, key, rate)
			}
		}
	}
}

// Guards against an interval that does not contain the rate.
func TestRateInterval(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 10, 200} {
		low, high := rateInterval(rate, 2)
		if low > rate || high < rate || math.IsNaN(low) || math.IsNaN(high) {
			t.Errorf("rate %v: %v to %v", rate, low, high)
		}
	}
}
