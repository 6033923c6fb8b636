//! Which routers keep a retry history, and its way through a datagram.

use {
    baobab_relay::{
        GossipMessage, KeptHistory, PeerDirectory, PeerHost, RetryMessage, Sender, seal,
    },
    baobab_retry::{Period, RetryHistory},
    baobab_unit::id_of,
    std::{net::SocketAddr, time::Duration},
};

const KEEPERS: usize = 3;

fn host(number: u16) -> PeerHost {
    PeerHost {
        host: format!("host-{number}"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        incarnation: 1,
        key: [u8::try_from(number).unwrap(); 32],
    }
}

fn directory_of(own: &str, routers: u16) -> PeerDirectory {
    let mut directory = PeerDirectory::new(own);
    directory.replace((1..=routers).map(host).collect(), Duration::ZERO);
    directory
}

#[test]
fn the_next_run_of_a_router_asks_those_that_keep_its_history() {
    for routers in [1, 2, 3, 6, 90] {
        let own = "host-1";
        let keepers = directory_of(own, routers).history_keepers(KEEPERS, Duration::ZERO);
        let expected = KEEPERS.min(usize::from(routers) - 1);
        assert_eq!(keepers.len(), expected, "{routers}");
        assert!(!keepers.contains(&host(1).address), "{routers}");
        let mut next_run = directory_of(own, routers);
        assert_eq!(next_run.history_keepers(KEEPERS, Duration::ZERO), keepers);
        // Without one of them, the others stay.
        if let Some(gone) = keepers.first() {
            next_run.remove(&format!("host-{}", gone.port()));
            let remaining = next_run.history_keepers(KEEPERS, Duration::ZERO);
            assert!(keepers[1..].iter().all(|keeper| remaining.contains(keeper)));
        }
    }
}

#[test]
fn routers_share_the_histories_among_them() {
    let mut kept = vec![0; 91];
    for number in 1..=90 {
        let directory = directory_of(&format!("host-{number}"), 90);
        for keeper in directory.history_keepers(KEEPERS, Duration::ZERO) {
            kept[usize::from(keeper.port())] += 1;
        }
    }
    assert_eq!(kept.iter().sum::<usize>(), 90 * KEEPERS);
    assert!(kept.iter().all(|count| *count <= 12), "{kept:?}");
}

#[test]
fn a_history_passes_through_a_datagram_unchanged() {
    let history = RetryHistory {
        services: vec![(
            7,
            vec![Period {
                age: Duration::from_millis(1500),
                requests: 300,
                retries: 12,
            }],
        )],
    };
    let retries = RetryMessage {
        history: Some(history.clone()),
        is_query: true,
        answer: Some(KeptHistory {
            history,
            reported_ago: Duration::from_millis(250),
        }),
    };
    let message = GossipMessage {
        retries: retries.clone(),
        ..GossipMessage::default()
    };
    let sender = Sender {
        host: id_of("host-2"),
        incarnation: 1,
        number: 1,
    };
    let datagram = seal(sender, &message, &host(2).key);
    let received = directory_of("host-1", 2).receive(&datagram, Duration::ZERO);
    assert_eq!(received.unwrap().1.retries, retries);
}
