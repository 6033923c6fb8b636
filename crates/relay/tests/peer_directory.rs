//! Whose datagrams a router accepts, in whatever order it reads the rows of another router's runs.

use {
    baobab_relay::{GossipMessage, PeerDirectory, PeerHost, SealError, Sender, seal},
    baobab_unit::id_of,
    std::time::Duration,
};

/// What the directory gets: the row of a run in the store, or a datagram of a run with this number.
#[derive(Debug, Clone, Copy)]
enum Event {
    Row(u64),
    Datagram(u64, u64, Result<(), SealError>),
    /// All routers' rows, with one of this run.
    Listing(u64),
    /// All rows after a restoration of the store.
    RestoredListing(u64),
}

use Event::{Datagram, Listing, RestoredListing, Row};

fn run(incarnation: u64) -> PeerHost {
    PeerHost {
        host: "host-2".to_owned(),
        address: "127.0.0.1:7400".parse().unwrap(),
        incarnation,
        key: [u8::try_from(incarnation).unwrap(); 32],
    }
}

fn datagram(incarnation: u64, number: u64) -> Vec<u8> {
    let sender = Sender {
        host: id_of("host-2"),
        incarnation,
        number,
    };
    seal(sender, &GossipMessage::default(), &run(incarnation).key)
}

fn check(events: &[Event]) {
    let mut directory = PeerDirectory::new("host-1");
    for (step, event) in (0..).zip(events) {
        let now = Duration::from_millis(100 * step);
        match *event {
            Row(incarnation) => directory.insert(run(incarnation), now),
            Listing(incarnation) => directory.replace(vec![run(incarnation)], now),
            RestoredListing(incarnation) => directory.merge(vec![run(incarnation)], now),
            Datagram(incarnation, number, expected) => {
                let result = directory.receive(&datagram(incarnation, number), now);
                assert_eq!(result.map(|_| ()), expected, "{event:?} of {events:?}");
            }
        }
    }
}

/// Guards against a router that is cut off from its peers by a late row of its earlier run.
#[test]
fn a_live_router_is_heard_whatever_row_is_read_last() {
    for events in [
        &[
            Row(1),
            Row(2),
            Datagram(2, 1, Ok(())),
            Row(1),
            Datagram(2, 2, Ok(())),
        ][..],
        &[Row(2), Row(1), Datagram(2, 1, Ok(()))],
        &[Listing(2), Listing(1), Datagram(2, 1, Ok(()))],
        &[Listing(2), RestoredListing(1), Datagram(2, 1, Ok(()))],
        // The host's clock has stepped back between its runs.
        &[
            Row(5),
            Datagram(5, 1, Ok(())),
            Row(3),
            Datagram(3, 1, Ok(())),
        ],
        &[
            Row(5),
            Row(3),
            Datagram(3, 1, Ok(())),
            Row(3),
            Datagram(3, 2, Ok(())),
        ],
    ] {
        check(events);
    }
}

/// Guards against peers that believe more than they should: unknown runs, and datagrams that come again.
#[test]
fn unknown_runs_and_replayed_datagrams_are_rejected() {
    let unknown = Err(SealError::UnknownSender);
    let replayed = Err(SealError::Replayed);
    for events in [
        &[Datagram(1, 1, unknown)][..],
        &[Row(1), Datagram(2, 1, unknown)],
        &[Row(1), Row(2), Row(3), Datagram(1, 1, unknown)],
        &[
            Row(2),
            Datagram(2, 1, Ok(())),
            Row(1),
            Datagram(2, 1, replayed),
            Datagram(1, 1, Ok(())),
            Datagram(2, 1, replayed),
            Datagram(2, 2, Ok(())),
            Datagram(1, 1, replayed),
        ],
    ] {
        check(events);
    }
}
