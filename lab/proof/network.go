package proof

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenagate/lab/fault"
	"verbenagate/lab/server"
)

// platformName is the name of the platform as an end of connections; VMs have their ids and servers serverName.
const platformName = "platform"

func serverName(i int) string { return fmt.Sprintf("server%d", i+1) }

func isServer(name string) bool { return strings.HasPrefix(name, "server") }

func isVM(name string) bool { return name != platformName && !isServer(name) }

// wire is the link that connections from one end of the deployment to another one take.
type wire struct {
	client, server string
	link           *fault.Link
	lossy          [2]float64 // loss in force, by direction
}

// ends returns the sender and the receiver in a direction.
func (w *wire) ends(d fault.Direction) (from, to string) {
	if d == fault.ToServer {
		return w.client, w.server
	}
	return w.server, w.client
}

// condition is a fault on some of the connections.
type condition struct {
	// affects tells whether the condition holds for what one end sends to another.
	affects func(from, to string) bool
	cut     bool
	delay   time.Duration
	loss    float64
}

// oneWay selects what is sent from a to b. The name "all" stands for every VM.
func oneWay(a, b string) func(from, to string) bool {
	is := func(name, pattern string) bool { return name == pattern || pattern == "all" && isVM(name) }
	return func(from, to string) bool { return is(from, a) && is(to, b) }
}

// bothWays selects what a and b send to each other.
func bothWays(a, b string) func(from, to string) bool {
	there, back := oneWay(a, b), oneWay(b, a)
	return func(from, to string) bool { return there(from, to) || back(from, to) }
}

// network holds the links of a deployment: between VMs, from VMs to servers and to the platform, and from replicas to
// primaries. Cancel requests to servers name no VM and pass through every condition.
type network struct {
	mu         sync.Mutex
	wires      []*wire
	servers    []*proxy
	peers      map[string]*proxy
	dataCentre map[string]string // of VMs and servers
	conditions []*condition
	own        []*fault.Link // links that close with the network
}

func newNetwork() *network {
	return &network{peers: map[string]*proxy{}, dataCentre: map[string]string{}}
}

// addServers adds the servers, with a proxy in front of each, and links for the replication between them.
func (n *network) addServers(group []*server.Server, proxies []*proxy, dataCentres []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers = proxies
	for i := range group {
		n.dataCentre[serverName(i)] = dataCentres[i%len(dataCentres)]
		for id := range n.peers {
			if err := n.wire(id, serverName(i), proxies[i]); err != nil {
				return err
			}
		}
		for j := range group {
			if i == j {
				continue
			}
			l, err := fault.New(group[j].Addr())
			if err != nil {
				return err
			}
			n.own = append(n.own, l)
			n.wires = append(n.wires, &wire{client: serverName(i), server: serverName(j), link: l})
			group[i].SetRoute(proxies[j].Addr(), l.Addr())
		}
	}
	return nil
}

// addVM adds a VM, and returns its link to the platform and the proxy in front of its listener for other VMs.
func (n *network) addVM(id, dataCentre, listens, platform string) (*fault.Link, *proxy, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	up, err := fault.New(platform)
	if err != nil {
		return nil, nil, err
	}
	n.own = append(n.own, up)
	n.wires = append(n.wires, &wire{client: id, server: platformName, link: up})
	p, err := newPeerProxy()
	if err != nil {
		return nil, nil, err
	}
	p.SetTarget(listens)
	for i, s := range n.servers {
		if err := n.wire(id, serverName(i), s); err != nil {
			return nil, nil, err
		}
	}
	for other, q := range n.peers {
		if err := errors.Join(n.wire(id, other, q), n.wire(other, id, p)); err != nil {
			return nil, nil, err
		}
	}
	n.peers[id], n.dataCentre[id] = p, dataCentre
	n.apply()
	return up, p, nil
}

func (n *network) wire(client, server string, p *proxy) error {
	l, err := p.from(client)
	if err == nil {
		n.wires = append(n.wires, &wire{client: client, server: server, link: l})
	}
	return err
}

// impose puts a condition in force.
func (n *network) impose(c *condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = append(n.conditions, c)
	n.apply()
}

// lift ends a condition; nil ends all.
func (n *network) lift(c *condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = slices.DeleteFunc(n.conditions, func(o *condition) bool { return c == nil || o == c })
	n.apply()
}

// apply sets every link to the conditions in force. The caller holds mu.
func (n *network) apply() {
	for i, w := range n.wires {
		for _, d := range []fault.Direction{fault.ToServer, fault.ToClient} {
			from, to := w.ends(d)
			var sum condition
			for _, c := range n.conditions {
				if c.affects(from, to) {
					sum.cut, sum.delay, sum.loss = sum.cut || c.cut, max(sum.delay, c.delay), max(sum.loss, c.loss)
				}
			}
			w.link.Cut(d, sum.cut)
			w.link.SetDelay(d, sum.delay)
			if sum.loss != w.lossy[d] { // setting it starts the random sequence again
				w.link.SetLoss(d, sum.loss, uint64(i))
				w.lossy[d] = sum.loss
			}
		}
	}
}

// reset ends the connections that the selection covers in either direction.
func (n *network) reset(affects func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.wires {
		if affects(w.client, w.server) || affects(w.server, w.client) {
			w.link.Reset()
		}
	}
}

// crossing selects what a data centre exchanges with everything outside, the platform included.
func (n *network) crossing(dataCentre string) func(from, to string) bool {
	return func(from, to string) bool {
		return (n.dataCentre[from] == dataCentre) != (n.dataCentre[to] == dataCentre)
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.Close()
	}
	for _, l := range n.own {
		l.Close()
	}
}

// ports hands out ports below the range from which the kernel takes those of outgoing connections: a VM must get the
// same addresses again after a restart, and with ports of that range about one VM in thirty found its address in use.
var ports = struct {
	sync.Mutex
	next int
}{next: 20000 + rand.IntN(10000)}

// host is a loopback address of this process. With 127.0.0.1 two test processes on a machine took each other's ports
// between the choice of a port and its use.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// freePort returns an address of host that nothing listens on.
func freePort() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		ports.next++
		if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, ports.next)); err == nil {
			return ln.Addr().String(), ln.Close()
		}
	}
	return "", errors.New("no free port")
}
