package streamorigin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearHolders is the number of gateways of the own data centre that get a record. Callers come back to
	// another gateway of their data centre, and several gateways may be killed at the same moment.
	nearHolders = 2
	// farHolders is the number of other data centres of which one gateway gets the record.
	farHolders = 1
)

// Gateway is a gateway that may hold records.
type Gateway struct {
	Address    string
	DataCentre string
}

// Holders returns the addresses of the gateways to which a gateway sends the record of a stream. self is the sending
// gateway, and gateways are all others.
func Holders(key Key, self Gateway, gateways []Gateway) []string {
	near, far := rank(key, self.DataCentre, gateways)
	return append(first(near, nearHolders), first(far, farHolders)...)
}

// Sources returns the addresses of the gateways that a gateway asks for the record of a stream: whichever gateway sent
// the record, at least one of them was selected by Holders, if both know the same gateways.
func Sources(key Key, self Gateway, gateways []Gateway) []string {
	near, far := rank(key, self.DataCentre, gateways)
	return append(first(near, nearHolders), first(far, len(far))...)
}

func first(list []string, count int) []string { return slices.Clone(list[:min(count, len(list))]) }

// rank orders the gateways of a data centre, and the first gateways of each other data centre, by a hash of the key and the
// address. Adding or removing a gateway changes the order of no others.
func rank(key Key, dataCentre string, gateways []Gateway) (near, far []string) {
	type ranked struct {
		Gateway
		hash uint64
	}
	var local []ranked
	best := map[string]ranked{}
	for _, g := range gateways {
		r := ranked{g, hash(key, g.Address)}
		if g.DataCentre == dataCentre {
			local = append(local, r)
			continue
		}
		if known, found := best[g.DataCentre]; !found || r.hash > known.hash {
			best[g.DataCentre] = r
		}
	}
	descending := func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) }
	slices.SortFunc(local, descending)
	for _, r := range local {
		near = append(near, r.Address)
	}
	remote := make([]ranked, 0, len(best))
	for _, r := range best {
		remote = append(remote, r)
	}
	slices.SortFunc(remote, descending)
	for _, r := range remote {
		far = append(far, r.Address)
	}
	return near, far
}

func hash(key Key, address string) uint64 {
	var data [len(key) + 8]byte
	copy(data[:], key[:])
	binary.LittleEndian.PutUint64(data[len(key):], xxhash.Sum64String(address))
	return xxhash.Sum64(data[:])
}
