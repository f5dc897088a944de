package matrix

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// The race detector of Go 1.26 crashes in runtime.(*timer).maybeRunChan if two
// goroutines of a bubble reach expired timers at the same time. With GOMAXPROCS=1 it
// does not. With -race the tests therefore run in as many processes as there are
// processors, each of which runs one shard of the cells with GOMAXPROCS=1.

const (
	shardEnv = "MATRIX_SHARD" // index/count, set for the processes of the shards
	allEnv   = "MATRIX_ALL"   // runs every cell
	seedEnv  = "MATRIX_SEED"  // selects the cells and the sequences
	seedsEnv = "MATRIX_SEEDS" // number of sequences

	// By default one single fault in cellSampling runs, which keeps the package under
	// 4 minutes with -race on 10 processors.
	cellSampling = 10
)

func TestMain(m *testing.M) {
	flag.Parse()
	if !raceEnabled || os.Getenv(shardEnv) != "" {
		os.Exit(m.Run())
	}
	os.Exit(runShards(runtime.GOMAXPROCS(0)))
}

func runShards(n int) int {
	args := slices.DeleteFunc(slices.Clone(os.Args[1:]), func(a string) bool {
		return strings.HasPrefix(a, "-test.testlogfile") // Only one process can write it.
	})
	codes := make([]int, n)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			cmd := exec.Command(os.Args[0], args...) //nolint:noctx // -test.timeout bounds it.
			cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d/%d", shardEnv, i, n), "GOMAXPROCS=1")
			out, err := cmd.CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				codes[i] = 1
			}
			if i == 0 || err != nil || testing.Verbose() {
				fmt.Printf("shard %d of %d\n%s", i+1, n, out)
			}
		})
	}
	wg.Wait()
	return slices.Max(codes)
}

// shardOfProcess returns the index of this process's shard and the number of shards.
func shardOfProcess() (index, count int) {
	a, b, ok := strings.Cut(os.Getenv(shardEnv), "/")
	if !ok {
		return 0, 1
	}
	index, _ = strconv.Atoi(a)
	count, _ = strconv.Atoi(b)
	return index, max(count, 1)
}

// onlyFirstShard skips a test that is not divided into cells in all shards but the
// first.
func onlyFirstShard(t *testing.T) {
	t.Helper()
	if i, _ := shardOfProcess(); i > 0 {
		t.Skip("runs in the first shard")
	}
}

// inShard reports whether this process runs a cell.
func inShard(cell string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cell)) // Write of a hash never fails.
	sum := h.Sum64()
	index, count := shardOfProcess()
	if sum%uint64(count) != uint64(index) {
		return false
	}
	if os.Getenv(allEnv) != "" || !noCellSelected() {
		return true
	}
	return (sum/uint64(count)+uint64(seed()))%cellSampling == 0
}

// inShardOf reports whether this process runs the test or sequence with a name.
func inShardOf(name string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // Write of a hash never fails.
	index, count := shardOfProcess()
	return h.Sum64()%uint64(count) == uint64(index)
}

// noCellSelected reports whether -run selects no single cells. Cells are subtests,
// whose patterns have a slash.
func noCellSelected() bool {
	for _, a := range os.Args[1:] {
		if strings.HasPrefix(a, "-test.run=") && strings.Contains(a, "/") {
			return false
		}
	}
	return true
}

// seed returns the seed of the run. By default it is the number of the day since 1970,
// so that all runs of a day have the same cells and sequences.
func seed() int64 {
	if n, err := strconv.ParseInt(os.Getenv(seedEnv), 10, 64); err == nil {
		return n
	}
	return time.Now().Unix() / (24 * 60 * 60)
}
