package lead

// maxOwners is how many VMs may hold the shared connections to a server: the owner, and the next VM in order, which takes over
// while the owner does not answer.
const maxOwners = 2

// Owners returns the VMs that hold the shared connections to a server, the owner first. They are in the server's data centre, so
// that forwarded statements cross a link between data centres only once, or anywhere if no VM lives there. Large VMs own more servers
// than small ones. VMs with the same list
// compute the same order, and a VM that joins or leaves changes the owner only of the servers that it owns.
func Owners(live []Member, server, dataCentre string) []Member {
	local, all := make(map[string]Member), make(map[string]Member)
	for _, m := range live {
		if m.address == "" {
			continue
		}
		all[m.name] = m
		if m.dataCentre == dataCentre {
			local[m.name] = m
		}
	}
	if len(local) == 0 {
		local = all
	}
	return topBySize(server, local, maxOwners)
}
