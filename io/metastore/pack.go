package metastore

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"pineturn/platform"
)

const (
	// packLevel is the compression level of packed records.
	packLevel = 6
	// maxUnpackedBytes bounds the size of unpacked records.
	maxUnpackedBytes = 16 << 20
	// keptRecords is the number of records of a topic that are kept as dictionaries. A
	// host that reads the store itself for a moment is ahead of the relay by a few.
	keptRecords = 4
	// noBase is the Base of an update that is packed without a dictionary.
	noBase = -1
)

// packRecords encodes and compresses records. The value of an earlier record of their topic is
// the dictionary, as successive records differ little.
func packRecords(records []platform.Record, dictionary []byte) ([]byte, error) {
	data, err := cbor.Marshal(records)
	if err != nil {
		return nil, errors.Wrap(err, "encode records")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriterDict(&packed, packLevel, dictionary)
	if err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress records")
	}
	return packed.Bytes(), nil
}

// unpackRecords decodes what packRecords has returned for the same dictionary.
func unpackRecords(packed, dictionary []byte) ([]platform.Record, error) {
	r := flate.NewReaderDict(bytes.NewReader(packed), dictionary)
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress records")
	}
	var records []platform.Record
	if err := cbor.Unmarshal(data, &records); err != nil {
		return nil, errors.Wrap(err, "decode records")
	}
	return records, nil
}

// dictionaries holds the latest records of a topic that this host has read or been relayed in
// the current era, the latest one last.
type dictionaries []platform.Record

// add adds records, of which the one with the highest offset may become the dictionary of the
// next update.
func (d *dictionaries) add(records []platform.Record) {
	if len(records) == 0 {
		return
	}
	latest := records[0]
	for _, r := range records {
		if r.Offset > latest.Offset {
			latest = r
		}
	}
	if last := len(*d) - 1; last >= 0 && (*d)[last].Offset >= latest.Offset {
		return
	}
	*d = append(*d, latest)
	if excess := len(*d) - keptRecords; excess > 0 {
		*d = append(dictionaries(nil), (*d)[excess:]...)
	}
}

// latest returns the latest record, or one at offset noBase without a value if there is none.
func (d dictionaries) latest() platform.Record {
	if len(d) == 0 {
		return platform.Record{Offset: noBase}
	}
	return d[len(d)-1]
}

// find returns the value of the record at an offset.
func (d dictionaries) find(offset int64) ([]byte, bool) {
	for _, r := range d {
		if r.Offset == offset {
			return r.Value, true
		}
	}
	return nil, false
}
