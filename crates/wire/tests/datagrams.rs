//! Rejection of forged, replayed and malformed datagrams.

use {
    baobab_fair::{Grant, Grants, PoolUpdate, PoolUpdateRow, Report, Revocation, WorkspaceRow},
    baobab_unit::Window,
    baobab_wire::{Codec, Heartbeat, Message, Packet, ReplayGuard, WireError},
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::Duration,
};

fn packet(incarnation: u64, number: u64) -> Packet {
    Packet {
        sender: 1,
        receiver: 2,
        incarnation,
        number,
        messages: vec![
            Message::Heartbeat(Heartbeat {
                config_version: 7,
                draining: false,
            }),
            Message::Report(Report {
                pool: 3,
                number: 9,
                base: 8,
                sent_at: Duration::from_millis(1234),
                dispatcher_incarnation: 5,
                received: Window {
                    highest: 4,
                    mask: 0b101,
                },
                workspaces: vec![WorkspaceRow {
                    workspace: 11,
                    waiting_urgent: 1,
                    waiting: 2,
                    tokens: 300,
                }],
                streams: Vec::new(),
                engines: Vec::new(),
            }),
            Message::Grants(Grants {
                pool: 3,
                router_incarnation: 1,
                applied: 9,
                router_time: Duration::from_millis(1240),
                grants: vec![Grant {
                    number: 5,
                    engine: 21,
                    workspace: 11,
                    urgent_only: true,
                    valid: Duration::from_millis(500),
                }],
                revocations: vec![Revocation {
                    engine: 21,
                    workspace: 12,
                }],
            }),
        ],
    }
}

fn codec() -> Codec {
    Codec::new([3; 32])
}

#[test]
fn a_packet_is_unchanged_after_encoding_and_decoding() {
    let bytes = codec().encode(&packet(1, 1)).expect("the packet fits");
    assert_eq!(codec().decode(&bytes), Ok(packet(1, 1)));
}

#[test]
fn datagrams_with_a_foreign_key_or_an_invalid_size_are_rejected() {
    let bytes = Codec::new([4; 32])
        .encode(&packet(1, 1))
        .expect("the packet fits");
    assert_eq!(codec().decode(&bytes), Err(WireError::Forged));
    assert_eq!(codec().decode(&bytes[..10]), Err(WireError::Size));
    assert_eq!(
        codec().decode(&vec![0; 5 * 1024 * 1024]),
        Err(WireError::Size)
    );
}

#[test]
fn replayed_datagrams_are_rejected() {
    let cases = [
        ("first", 5, 1, Ok(())),
        ("duplicate", 5, 1, Err(WireError::Replayed)),
        ("out of order", 5, 4, Ok(())),
        ("late, first time", 5, 3, Ok(())),
        ("late duplicate", 5, 3, Err(WireError::Replayed)),
        ("far ahead", 5, 500, Ok(())),
        ("older than the window", 5, 5, Err(WireError::Replayed)),
        ("a new run", 6, 1, Ok(())),
        ("an old run", 5, 501, Err(WireError::OldIncarnation)),
    ];
    let mut replay_guard = ReplayGuard::default();
    for (name, incarnation, number, expected) in cases {
        assert_eq!(
            replay_guard.accept(&packet(incarnation, number)),
            expected,
            "{name}"
        );
    }
}

#[test]
fn out_of_bounds_values_of_a_peer_are_rejected() {
    let mut invalid = packet(1, 1);
    invalid.messages = vec![Message::PoolUpdate(PoolUpdate {
        pool: 1,
        model: 1,
        number: 1,
        wants_sync: false,
        stream_rate: 20,
        rows: vec![PoolUpdateRow {
            workspace: 1,
            tokens: 1,
            lift: 0,
            running: u32::MAX,
            waiting_urgent: 0,
            waiting: 0,
            router: 1,
        }],
    })];
    let bytes = codec().encode(&invalid).expect("the packet fits");
    assert_eq!(codec().decode(&bytes), Err(WireError::OutOfBounds));
}

fn config() -> Config {
    let cases = std::env::var("FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(2000);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A faulty peer may send arbitrary content under a valid tag.
    #[test]
    fn arbitrary_content_under_a_valid_tag_does_not_panic_the_decoder(content in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut bytes = content.clone();
        let hash = blake3::keyed_hash(&[3; 32], &content);
        bytes.extend_from_slice(&hash.as_bytes()[..16]);
        let decoded = codec().decode(&bytes);
        prop_assert!(decoded != Err(WireError::Forged));
    }

    #[test]
    fn a_flipped_bit_fails_authentication(position in 0_usize..2000, bit in 0_u8..8) {
        let mut bytes = codec().encode(&packet(1, 1)).expect("the packet fits");
        let index = position % bytes.len();
        bytes[index] ^= 1 << bit;
        prop_assert_eq!(codec().decode(&bytes), Err(WireError::Forged));
    }
}
