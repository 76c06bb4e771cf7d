package forwarder_test

import (
	"os"
	"runtime"
	"testing"
)

// manyThreads is enough for the pollers of all nodes in one test process, each of which blocks a thread.
const manyThreads = 256

func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(manyThreads)
	os.Exit(m.Run())
}
