package poison

import (
	"bytes"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Encode returns the record of blocks, by fingerprint.
func Encode(blocks []Block) ([]byte, error) {
	sorted := slices.SortedFunc(slices.Values(blocks), compareBlocks)
	data, err := cbor.Marshal(sorted)
	if err != nil {
		return nil, errors.Wrap(err, "encode blocked requests")
	}
	return data, nil
}

func compareBlocks(a, b Block) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) }

// Decode returns the blocks in a record.
func Decode(data []byte) ([]Block, error) {
	var blocks []Block
	if err := cbor.Unmarshal(data, &blocks); err != nil {
		return nil, errors.Wrap(err, "decode blocked requests")
	}
	return blocks, nil
}
