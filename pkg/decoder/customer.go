package decoder

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"slices"

	"github.com/goccy/go-yaml/ast"

	"github.com/tamarackpitch/tamarackpitch/pkg/schema"
)

func buildCustomer(body ast.Node) (*schema.Declaration, error) {
	doc, err := decodeStrict[customerDocument](body)
	if err != nil {
		return nil, err
	}
	if err := checkName("name", doc.Name); err != nil {
		return nil, err
	}
	if err := checkLimit("rate-per-second", doc.RatePerSecond); err != nil {
		return nil, err
	}
	if err := checkLimit("burst", doc.Burst); err != nil {
		return nil, err
	}
	hashes, err := decodeKeyHashes(doc.KeyHashes)
	if err != nil {
		return nil, err
	}
	item := &schema.Customer{Name: doc.Name, KeyHashes: hashes, RatePerSecond: doc.RatePerSecond, Burst: doc.Burst,
		Priority: doc.Priority}
	return &schema.Declaration{Item: &schema.Declaration_Customer{Customer: item}}, nil
}

// checkLimit checks a limit, of which 0 means none. The condition is negated so that NaN fails it.
func checkLimit(key string, value float64) error {
	if !(value >= 0) || math.IsInf(value, 1) {
		return valueError(key, "a finite number of at least 0")
	}
	return nil
}

// decodeKeyHashes decodes and sorts the hashes of a customer's keys. It does not quote them in errors: one that is not a
// hash may be a key.
func decodeKeyHashes(texts []string) ([][]byte, error) {
	hashes := make([][]byte, len(texts))
	for i, text := range texts {
		hash, err := hex.DecodeString(text)
		if err != nil || len(hash) != sha256.Size {
			return nil, valueError("key-hashes", "SHA-256 hashes of 64 hexadecimal digits")
		}
		hashes[i] = hash
	}
	slices.SortFunc(hashes, bytes.Compare)
	if len(slices.CompactFunc(slices.Clone(hashes), bytes.Equal)) < len(hashes) {
		return nil, valueError("key-hashes", "each hash once")
	}
	return hashes, nil
}
