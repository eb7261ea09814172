package ownership
import ("testing";"math/rand/v2";"fmt";"os";"strconv";"time")
func TestZZ(t *testing.T) {
	n,_ := strconv.Atoi(os.Getenv("N")); base,_ := strconv.Atoi(os.Getenv("BASE"))
	for seed := base; seed < base+n; seed++ {
		h := &history{random: rand.New(rand.NewPCG(uint64(seed),1)), processes: map[int]*simProcess{}, faulty: 0.5}
		for i := range 4 { h.servers = append(h.servers, &simServer{holder: Holder{ID: fmt.Sprint("s", i), Addr: fmt.Sprint(i)}, up: true, seen: map[int]Token{}}) }
		h.elect()
		for range int(40*time.Second/historyStep) {
			if h.random.IntN(8) == 0 { h.disturb() }
			if err := h.step(); err != nil { t.Errorf("seed %d: %v", seed, err); break }
		}
	}
}
