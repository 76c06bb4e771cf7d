package forwarder_test

import (
	"os"
	"runtime"
	"testing"
)

// maxProcs exceeds the number of pollers in one test process, each of which blocks a thread.
const maxProcs = 256

func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(maxProcs)
	os.Exit(m.Run())
}
