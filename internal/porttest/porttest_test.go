package porttest

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"testing"
)

// listVariable makes the test binary print addresses in place of running tests.
const listVariable = "PORTTEST_LIST"

const listLength = 1000 // several blocks

func TestMain(m *testing.M) {
	if os.Getenv(listVariable) == "" {
		os.Exit(m.Run())
	}
	for range listLength {
		address, err := Address()
		if err != nil {
			panic(err)
		}
		os.Stdout.WriteString(address + "\n")
	}
	_, _ = os.Stdin.Read(make([]byte, 1)) // until the test has started the others
}

// Guards against test processes side by side that are given the same ports: an address that one has got and does not listen
// on yet is given to no other.
func TestProcessesGetDifferentPorts(t *testing.T) {
	const processes = 8
	var outputs [processes]io.Reader
	for i := range processes {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), listVariable+"=1")
		hold, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		if outputs[i], err = cmd.StdoutPipe(); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = hold.Close()
			_ = cmd.Wait()
		})
	}
	taken := map[string]int{}
	for i, output := range outputs {
		lines := bufio.NewScanner(output)
		for n := 0; n < listLength && lines.Scan(); n++ {
			address := lines.Text()
			if other, ok := taken[address]; ok {
				t.Fatalf("processes %d and %d both got %s", other, i, address)
			}
			taken[address] = i
		}
	}
	if len(taken) != processes*listLength {
		t.Errorf("%d addresses, want %d", len(taken), processes*listLength)
	}
}
