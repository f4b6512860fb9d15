package child

import (
	"errors"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a killed process that is not reported as ended, or whose Err is not an *exec.ExitError, and against a Start
// that hides a failure.
func TestEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	p, err := Start(exec.Command("sleep", "60"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Ended()).NotTo(gomega.BeClosed())
	g.Expect(p.Cmd().Process.Signal(syscall.SIGKILL)).To(gomega.Succeed())
	g.Eventually(p.Ended()).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	var exit *exec.ExitError
	g.Expect(errors.As(p.Err(), &exit)).To(gomega.BeTrue())
	_, err = Start(exec.Command("/does/not/exist"))
	g.Expect(err).To(gomega.HaveOccurred())
}
