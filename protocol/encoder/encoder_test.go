package encoder

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamspan/hornbeamspan/parts/coordination/claimer"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/publisher"
	"github.com/hornbeamspan/hornbeamspan/parts/coordination/tracker"
	"github.com/hornbeamspan/hornbeamspan/protocol/wire"
)

func oncePayload() claimer.Payload {
	id := claimer.ID{Host: "a", Incarnation: 7, Sequence: 9}
	return claimer.Payload{
		Entries: []claimer.Entry{{Kind: claimer.Claim, ID: id, Key: claimer.Digest{1}, Fingerprint: claimer.Digest{2}, Status: 200}},
		Checkpoint: &claimer.Checkpoint{
			Upto: 3, Now: time.Unix(5, 0), Parts: 1,
			Holdings: []claimer.Holding{{Key: claimer.Digest{1}, ID: id, At: time.Unix(4, 0), Done: true, Status: 201}},
			Released: []claimer.Released{{ID: id, At: time.Unix(3, 0)}},
		},
	}
}

func rulesPayload() publisher.Payload {
	return publisher.Payload{
		Publication: &publisher.Publication{
			ID: "p", Base: 3, Author: "ada", Change: publisher.Delta{Head: 1, Tail: 2, Lines: []string{"x\n"}}, Sum: publisher.SumOf("x"), Validator: 1,
		},
		Checkpoint: &publisher.Checkpoint{
			Upto: 4, File: publisher.File{Version: 3, Text: "t", Author: "ben"},
			Decisions: []publisher.Decision{{ID: "p", Accepted: true, Version: 3, At: time.Unix(9, 0)}},
		},
	}
}

func TestOnceRecordsSurviveEncodingAndDecoding(t *testing.T) {
	data, err := EncodeOnceRecord(oncePayload())
	require.NoError(t, err)
	got, err := DecodeOnceRecord(data)
	require.NoError(t, err)
	assert.Equal(t, oncePayload(), got)
}

func TestRulesRecordsSurviveEncodingAndDecoding(t *testing.T) {
	data, err := EncodeRulesRecord(rulesPayload())
	require.NoError(t, err)
	got, err := DecodeRulesRecord(data)
	require.NoError(t, err)
	assert.Equal(t, rulesPayload(), got)
}

func TestGossipSurvivesEncodingAndDecoding(t *testing.T) {
	m := tracker.Member{
		Name: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Callers: netip.MustParseAddrPort("127.0.0.1:2"),
		DataCentre: "lima-norte", Incarnation: 5, State: tracker.Leaving,
	}
	want := tracker.Message{Answer: true, From: m, Rules: 4, Updates: []tracker.Member{m}}
	got, err := TrackerMessage(Gossip(want))
	require.NoError(t, err)
	assert.Equal(t, want, got)
}

func TestDigestOfTheWrongLengthIsReportedWithItsField(t *testing.T) {
	_, err := Digest("key", []byte{1})
	assert.EqualError(t, err, "encoder: unable to read key: 1 bytes, want 16")
}

func FuzzDecode(f *testing.F) {
	once, _ := EncodeOnceRecord(oncePayload())
	rules, _ := EncodeRulesRecord(rulesPayload())
	gossip, _ := Encode(Gossip(tracker.Message{Updates: []tracker.Member{{Name: "a"}}}))
	for _, seed := range [][]byte{once, rules, gossip, {0xbf, 0xff}, {}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if p, err := DecodeOnceRecord(data); err == nil {
			again, err := EncodeOnceRecord(p)
			require.NoError(t, err)
			back, err := DecodeOnceRecord(again)
			require.NoError(t, err)
			twice, err := EncodeOnceRecord(back)
			require.NoError(t, err)
			assert.True(t, bytes.Equal(again, twice))
		}
		_, _ = DecodeRulesRecord(data)
		if w, err := Decode[wire.Gossip](data); err == nil {
			_, _ = TrackerMessage(w)
		}
		_, _ = Decode[wire.Envelope](data)
	})
}

func BenchmarkOnceRecord(b *testing.B) {
	for _, n := range []int{1, 10, 100, 500} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			var p claimer.Payload
			for i := range n {
				id := claimer.ID{Host: "host-123", Incarnation: 1_764_800_000_000_000_000, Sequence: uint64(i)}
				p.Entries = append(p.Entries, claimer.Entry{Kind: claimer.Claim, ID: id, Key: claimer.Digest{byte(i)}, Fingerprint: claimer.Digest{1}})
			}
			var size int
			for range b.N {
				data, err := EncodeOnceRecord(p)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/claim")
		})
	}
}

func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{0, 2, 4, 6} {
		b.Run(fmt.Sprintf("updates=%d", n), func(b *testing.B) {
			m := tracker.Member{
				Name: "host-123", Address: netip.MustParseAddrPort("10.12.13.14:8102"), Callers: netip.MustParseAddrPort("10.12.13.14:8100"),
				DataCentre: "lima-norte", Incarnation: 1_764_800_000_000_000_000,
			}
			message := tracker.Message{From: m, Rules: 100_000}
			for range n {
				message.Updates = append(message.Updates, m)
			}
			var size int
			for range b.N {
				data, err := Encode(Gossip(message))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}
