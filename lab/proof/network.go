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

// platformName names the platform as an end of a connection. VMs are named by their ids, servers by serverName.
const platformName = "platform"

func serverName(i int) string { return fmt.Sprintf("server%d", i+1) }

func isServer(name string) bool { return strings.HasPrefix(name, "server") }

func isVM(name string) bool { return name != platformName && !isServer(name) }

// route is the link that all connections from a client (VM or server) to a server (server, VM or platform) pass through.
type route struct {
	client, server string
	link           *fault.Link
	loss           [2]float64 // probability of packet loss now set on the link, by direction
}

// ends returns the sender and the receiver of what is sent in direction d.
func (w *route) ends(d fault.Direction) (from, to string) {
	if d == fault.ToServer {
		return w.client, w.server
	}
	return w.server, w.client
}

// condition is a network fault on the connections that affects selects.
type condition struct {
	// affects reports whether the fault applies to what from sends to to.
	affects func(from, to string) bool
	cut     bool
	delay   time.Duration
	loss    float64
}

// oneWay selects the traffic from a to b. The name "all" stands for every VM.
func oneWay(a, b string) func(from, to string) bool {
	is := func(name, pattern string) bool { return name == pattern || pattern == "all" && isVM(name) }
	return func(from, to string) bool { return is(from, a) && is(to, b) }
}

// bothWays selects the traffic between a and b in both directions.
func bothWays(a, b string) func(from, to string) bool {
	there, back := oneWay(a, b), oneWay(b, a)
	return func(from, to string) bool { return there(from, to) || back(from, to) }
}

// network holds the links of a deployment: between VMs, from VMs to servers and to the platform, and from replicas to
// primaries. Cancel requests to servers don't name the VM that sent them, so no condition affects them.
type network struct {
	mu         sync.Mutex
	routes     []*route
	servers    []*proxy
	peers      map[string]*proxy
	dataCentre map[string]string // of VMs and servers
	conditions []*condition
	ownLinks   []*fault.Link // links that no proxy closes; close closes them
}

func newNetwork() *network {
	return &network{peers: map[string]*proxy{}, dataCentre: map[string]string{}}
}

// addServers adds the servers with the proxies in front of them, and a link for replication between each two servers.
func (n *network) addServers(group []*server.Server, proxies []*proxy, dataCentres []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers = proxies
	for i := range group {
		n.dataCentre[serverName(i)] = dataCentres[i%len(dataCentres)]
		for id := range n.peers {
			if err := n.addRoute(id, serverName(i), proxies[i]); err != nil {
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
			n.ownLinks = append(n.ownLinks, l)
			n.routes = append(n.routes, &route{client: serverName(i), server: serverName(j), link: l})
			group[i].SetRoute(proxies[j].Addr(), l.Addr())
		}
	}
	return nil
}

// addVM adds a VM that listens for other VMs at listenAddress. It returns the VM's link to the platform and the proxy in
// front of that listener.
func (n *network) addVM(id, dataCentre, listenAddress, platformAddress string) (*fault.Link, *proxy, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	platformLink, err := fault.New(platformAddress)
	if err != nil {
		return nil, nil, err
	}
	n.ownLinks = append(n.ownLinks, platformLink)
	n.routes = append(n.routes, &route{client: id, server: platformName, link: platformLink})
	p, err := newPeerProxy()
	if err != nil {
		return nil, nil, err
	}
	p.SetTarget(listenAddress)
	for i, s := range n.servers {
		if err := n.addRoute(id, serverName(i), s); err != nil {
			return nil, nil, err
		}
	}
	for other, q := range n.peers {
		if err := errors.Join(n.addRoute(id, other, q), n.addRoute(other, id, p)); err != nil {
			return nil, nil, err
		}
	}
	n.peers[id], n.dataCentre[id] = p, dataCentre
	n.applyConditions()
	return platformLink, p, nil
}

func (n *network) addRoute(client, server string, p *proxy) error {
	l, err := p.linkFor(client)
	if err == nil {
		n.routes = append(n.routes, &route{client: client, server: server, link: l})
	}
	return err
}

// addCondition applies a condition to the links.
func (n *network) addCondition(c *condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = append(n.conditions, c)
	n.applyConditions()
}

// removeCondition removes a condition from the links, or all conditions if c is nil.
func (n *network) removeCondition(c *condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions = slices.DeleteFunc(n.conditions, func(o *condition) bool { return c == nil || o == c })
	n.applyConditions()
}

// applyConditions sets cut, delay and loss of every link from all conditions; the greatest delay and loss count. The caller
// holds mu.
func (n *network) applyConditions() {
	for i, w := range n.routes {
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
			if sum.loss != w.loss[d] { // SetLoss restarts the link's random sequence
				w.link.SetLoss(d, sum.loss, uint64(i))
				w.loss[d] = sum.loss
			}
		}
	}
}

// resetConnections resets the connections of every route of which affects selects at least one direction.
func (n *network) resetConnections(affects func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range n.routes {
		if affects(w.client, w.server) || affects(w.server, w.client) {
			w.link.Reset()
		}
	}
}

// crossingDataCentre selects the traffic between a data centre and everything outside it, including the platform.
func (n *network) crossingDataCentre(dataCentre string) func(from, to string) bool {
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
	for _, l := range n.ownLinks {
		l.Close()
	}
}

// ports is the counter of freePort. Its ports are below the kernel's range for outgoing connections: a VM must listen on the
// same addresses after a restart, and with ports of that range about one VM in thirty found its address in use.
var ports = struct {
	sync.Mutex
	next int
}{next: 20000 + rand.IntN(10000)}

// host is a loopback address derived from the id of this process. With 127.0.0.1, two test processes on one machine took each
// other's ports between choosing and using them.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

// freePort returns an address on host that nothing listens on.
func freePort() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	for range 1000 {
		ports.next++
		if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, ports.next)); err == nil {
			return ln.Addr().String(), ln.Close()
		}
	}
	return "", errors.New("no free port among the next 1000")
}
