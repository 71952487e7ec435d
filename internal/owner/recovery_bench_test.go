package owner

import (
	"fmt"
	"runtime"
	runtimemetrics "runtime/metrics"
	"testing"
)

// BenchmarkRecoveryMemory recovers recorded jobs that wait. It reports what was read, what the owner holds afterwards, and what
// was allocated on the way.
func BenchmarkRecoveryMemory(b *testing.B) {
	for _, tasks := range []int{16, 4_000} {
		for _, count := range []int{1_000, 10_000, 100_000} {
			if tasks*count > 40_000_000 {
				continue // more than the store holds
			}
			b.Run(fmt.Sprint("tasks=", tasks, "/jobs=", count), func(b *testing.B) {
				for range b.N {
					recoverJobs(b, tasks, count)
				}
			})
		}
	}
}

func recoverJobs(b *testing.B, tasks, count int) {
	b.StopTimer()
	h := newHarness(b)
	h.discardLogs = true
	o := h.unrecoveredOwner(true)
	read := 0
	for i := range count {
		j := newJob(fmt.Sprintf("%016d", i), tasks)
		j.Steps[0].RequiredLabel = "absent"
		o.addActiveJob(j)
		for _, r := range o.appendJob(nil, o.jobs[j.ID]) {
			read += recordSize(r)
			h.store.Put(jobsTopic, r.Key, r.Value)
		}
	}
	o.stop()
	o = nil
	runtime.GC()
	before, allocated := heapInUse()
	successor := h.unrecoveredOwner(true)
	b.StartTimer()
	if err := successor.Recover(); err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	_, total := heapInUse()
	runtime.GC()
	after, _ := heapInUse()
	b.ReportMetric(float64(read), "B-read")
	b.ReportMetric(float64(after)-float64(before), "B-held")
	b.ReportMetric(float64(total-allocated), "B-allocated")
	runtime.KeepAlive(successor)
	successor.stop()
	b.StartTimer()
}

// heapInUse returns the bytes of live objects and of all objects allocated so far.
func heapInUse() (live, allocated uint64) {
	samples := []runtimemetrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
	runtimemetrics.Read(samples)
	return samples[0].Value.Uint64(), samples[1].Value.Uint64()
}
