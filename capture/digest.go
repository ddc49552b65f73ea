package capture

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"porthub/coordinator"
	"porthub/routing"
)

// Digest returns a hash of what a step published: for each publication its gateway, its version, its weights and the rates and
// shares of its routes. It returns 0 if nothing was published.
func Digest(outputs []coordinator.Output) uint64 {
	hash := xxhash.New()
	published := false
	for _, output := range outputs {
		message, ok := output.(coordinator.Publish)
		if !ok {
			continue
		}
		published = true
		_, _ = hash.WriteString(string(message.Gateway))
		_, _ = hash.WriteString(message.Version)
		for _, cluster := range message.Snapshot.Clusters {
			hashCluster(hash, cluster)
		}
		for _, route := range message.Snapshot.Routes {
			hashNumber(hash, math.Float64bits(route.Rate))
			hashNumber(hash, math.Float64bits(route.Share))
		}
	}
	if !published {
		return 0
	}
	return hash.Sum64()
}

// hashCluster adds a cluster's size, the sum of its weights' bits and its number of withheld endpoints.
func hashCluster(hash *xxhash.Digest, cluster routing.Cluster) {
	weights := uint64(0)
	withheld := uint64(0)
	for _, endpoint := range cluster.Endpoints {
		weights += math.Float64bits(endpoint.Weight)
		if endpoint.Withheld {
			withheld++
		}
	}
	hashNumber(hash, uint64(len(cluster.Endpoints)))
	hashNumber(hash, weights)
	hashNumber(hash, withheld)
}

func hashNumber(hash *xxhash.Digest, number uint64) {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], number)
	_, _ = hash.Write(buffer[:])
}
