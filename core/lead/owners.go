package lead

// maxOwners is how many VMs may hold the shared connections to a server: the owner, and the next VM in order, which takes over
// while the owner does not answer.
const maxOwners = 2

// Owners determines which VMs hold the shared connections to servers, for one list of live VMs. VMs with the same list determine
// the same owners, and a VM that joins or leaves changes the owner only of the servers that it owns. Large VMs own more servers
// than small ones. Owners is immutable.
type Owners struct {
	byDataCentre map[string]sizeRanking
	all          sizeRanking
}

// NewOwners returns the owners for the live VMs. VMs without an address own nothing, as nothing can be forwarded to them.
func NewOwners(live []Member) Owners {
	var all []Member
	local := make(map[string][]Member)
	for _, m := range live {
		if m.address == "" {
			continue
		}
		all = append(all, m)
		local[m.dataCentre] = append(local[m.dataCentre], m)
	}
	o := Owners{byDataCentre: make(map[string]sizeRanking, len(local)), all: newSizeRanking(all)}
	for dc, members := range local {
		o.byDataCentre[dc] = newSizeRanking(members)
	}
	return o
}

// Of returns the VMs that hold the shared connections to a server, the owner first. They are in the server's data centre, so that
// forwarded statements cross a link between data centres only once, or anywhere if no VM lives there.
func (o Owners) Of(server, dataCentre string) []Member {
	if local, ok := o.byDataCentre[dataCentre]; ok {
		return local.top(server, maxOwners)
	}
	return o.all.top(server, maxOwners)
}
