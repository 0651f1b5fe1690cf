package log

import "time"

// entry is one record and the time of its append.
type entry struct {
	data     []byte
	appended time.Time
}

// stream is one append-only stream. The offset of its first entry is earliest.
// The counters below are since the start of the service.
type stream struct {
	earliest uint64
	entries  []entry

	appends uint64
	reads   uint64
	bytes   uint64
}

// next returns the offset of the next append.
func (s *stream) next() uint64 { return s.earliest + uint64(len(s.entries)) }

func (s *stream) append(data []byte, now time.Time) uint64 {
	offset := s.next()
	s.entries = append(s.entries, entry{data: data, appended: now})
	s.appends++
	s.bytes += uint64(len(data))
	return offset
}

// read returns at most limit records, starting at offset.
func (s *stream) read(offset uint64, limit int) []record {
	records := []record{}
	for ; offset < s.next() && len(records) < limit; offset++ {
		records = append(records, record{Offset: offset, Data: s.entries[offset-s.earliest].data})
	}
	return records
}

// trim drops the records before offset.
func (s *stream) trim(offset uint64) {
	if offset <= s.earliest {
		return
	}
	drop := min(offset, s.next()) - s.earliest
	s.entries = append([]entry(nil), s.entries[drop:]...)
	s.earliest += drop
}

// expire drops records older than age, and the oldest records in excess of count.
// A limit of 0 drops none.
func (s *stream) expire(now time.Time, age time.Duration, count int) {
	drop := 0
	if count > 0 && len(s.entries) > count {
		drop = len(s.entries) - count
	}
	for age > 0 && drop < len(s.entries) && now.Sub(s.entries[drop].appended) > age {
		drop++
	}
	s.trim(s.earliest + uint64(drop))
}
