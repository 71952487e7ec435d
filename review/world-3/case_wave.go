package main

import "time"

func init() { scenarios["wave"] = playWave }

// playWave adds a machine and orders its upkeep while the instance service does not answer.
func playWave(w *World, trouble bool) (string, error) {
	if err := w.begin(3); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.logf("the instance service goes silent")
		w.cloudAt.set("silent")
		time.Sleep(500 * time.Millisecond)
	}
	w.addMachine("m-new", quickPool, "ie-a", 16000, 32768, "a", "r9")
	time.Sleep(2 * time.Second)
	w.orderWave(1, 20, 1, "m-new")
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		w.logf("the instance service answers again")
		w.cloudAt.set("")
	}
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.waveState(1) != "completed" {
			continue
		}
		began := w.upkeepBegan("m-new", 1)
		w.logf("wave 1 is shown as completed; upkeep of m-new begun: %v", began)
		if began {
			return "", nil
		}
		time.Sleep(15 * time.Second)
		w.logf("15 s later: upkeep of m-new begun: %v", w.upkeepBegan("m-new", 1))
		return "MIXED: wave 1 is said to be completed, and m-new, which stays, has not begun its upkeep", nil
	}
	return "", nil
}
