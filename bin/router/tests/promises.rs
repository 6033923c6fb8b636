//! Promises that hold while processes are killed, paused and stopped.

mod support;

use {
    baobab_store::Faults,
    baobab_wire::{Codec, Heartbeat, Message, Packet},
    rustix::process::Signal,
    std::{
        net::UdpSocket,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{KEY, Site, chat, is_correct, place_order, wait_until},
};

const STEP: Duration = Duration::from_millis(5);
/// Tokens of a stream that takes about four seconds.
const LONG_STREAM_TOKENS: u64 = 800;

#[test]
fn concurrent_requests_with_one_key_at_two_routers_run_once() {
    let site = Site::start(2, 1, 4, STEP);
    for round in 0..50 {
        let key = format!("key-{round}");
        let threads: Vec<_> = site
            .routers
            .iter()
            .map(|router| {
                let (address, key) = (router.caller_address, key.clone());
                thread::spawn(move || {
                    let response =
                        place_order(address, Some(&key), "a gasket").expect("the router responds");
                    response.status().as_u16()
                })
            })
            .collect();
        let statuses: Vec<u16> = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"))
            .collect();
        assert!(statuses.contains(&200), "{statuses:?}");
        // The other response is the same, or says that the request may have run.
        assert!(statuses.iter().all(|status| [200, 502].contains(status)));
        assert_eq!(site.service.stats().executions[&key], 1, "{key}");
    }
}

#[test]
fn orders_run_at_most_once_under_store_faults_and_never_if_reported_as_not_run() {
    let site = Site::start(1, 1, 4, STEP);
    let platform = site.platform.state();
    let faults = [
        (
            "down",
            Faults {
                down: true,
                ..Faults::default()
            },
        ),
        (
            "lost reply",
            Faults {
                lose_replies: 1,
                ..Faults::default()
            },
        ),
        (
            "lost write",
            Faults {
                lose_writes: 1,
                ..Faults::default()
            },
        ),
        (
            "slow",
            Faults {
                delay_ms: 4000,
                ..Faults::default()
            },
        ),
    ];
    for (name, fault) in faults {
        platform.set_faults(fault);
        let response = place_order(site.routers[0].caller_address, Some(name), "a gasket")
            .expect("the router responds");
        platform.set_faults(Faults::default());
        let is_success = response.is_success();
        let body = response.text().expect("the response has a body");
        let ran = site
            .service
            .stats()
            .executions
            .get(name)
            .copied()
            .unwrap_or(0);
        assert!(ran <= 1, "{name}");
        assert!(!is_success || ran == 1, "{name}: {body}");
        if body.contains("\"ran\":\"no\"") {
            thread::sleep(Duration::from_millis(1500));
            assert!(
                !site.service.stats().executions.contains_key(name),
                "{name}: {body}"
            );
        }
    }
}

#[test]
fn an_order_runs_at_most_once_when_its_router_is_killed_or_paused() {
    let mut site = Site::start(2, 1, 4, STEP);
    for round in 0..8_u64 {
        let key = format!("key-{round}");
        let (victim, other) = (
            site.routers[0].caller_address,
            site.routers[1].caller_address,
        );
        let caller = {
            let key = key.clone();
            thread::spawn(move || place_order(victim, Some(&key), "a gasket").is_ok())
        };
        thread::sleep(Duration::from_millis(round * 5));
        if round % 2 == 0 {
            site.routers[0].kill();
        } else {
            site.routers[0].signal(Signal::STOP);
        }
        place_order(other, Some(&key), "a gasket").expect("the other router responds");
        if round % 2 == 0 {
            site.routers[0].start();
        } else {
            site.routers[0].signal(Signal::CONT);
        }
        caller.join().expect("no thread panics");
        site.wait_ready();
        let response =
            place_order(other, Some(&key), "a gasket").expect("the other router responds");
        drop(response);
        let ran = site
            .service
            .stats()
            .executions
            .get(&key)
            .copied()
            .unwrap_or(0);
        assert!(ran <= 1, "{key} ran {ran} times");
    }
}

/// Callers that send requests to ready routers until they are stopped.
struct Load {
    stop: Arc<AtomicBool>,
    correct: Arc<AtomicU64>,
    incorrect: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(site: &Site, callers: usize, tokens: u64) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let (correct, incorrect): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let routers: Vec<_> = site
            .routers
            .iter()
            .map(|router| router.caller_address)
            .collect();
        let threads = (0..callers)
            .map(|caller| {
                let (stop, correct, incorrect) = (
                    Arc::clone(&stop),
                    Arc::clone(&correct),
                    Arc::clone(&incorrect),
                );
                let routers = routers.clone();
                thread::spawn(move || {
                    for number in 0.. {
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let router = routers[(caller + number) % routers.len()];
                        if !is_ready(router) {
                            continue;
                        }
                        let name = format!("caller {caller}, request {number}");
                        let is_correct_response = chat(router, &name, tokens)
                            .is_ok_and(|response| is_correct(response, &name, tokens));
                        let counter = if is_correct_response {
                            &correct
                        } else {
                            &incorrect
                        };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        Self {
            stop,
            correct,
            incorrect,
            threads,
        }
    }

    fn correct(&self) -> u64 {
        self.correct.load(Ordering::Relaxed)
    }

    /// Stops the callers. Returns the number of incorrect responses.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no thread panics");
        }
        self.incorrect.load(Ordering::Relaxed)
    }
}

fn is_ready(router: std::net::SocketAddr) -> bool {
    attohttpc::get(format!("http://{router}/ready"))
        .send()
        .is_ok_and(|response| response.is_success())
}

#[test]
fn a_rolling_restart_under_load_interrupts_no_requests() {
    let mut site = Site::start(3, 2, 4, STEP);
    let load = Load::start(&site, 6, 30);
    for index in 0..site.routers.len() {
        let before = load.correct();
        wait_until("requests are served", || load.correct() > before + 10);
        // A stream that takes longer than the balancer needs to redirect callers.
        let address = site.routers[index].caller_address;
        let long = thread::spawn(move || {
            let response = chat(address, "long", LONG_STREAM_TOKENS).expect("the router responds");
            is_correct(response, "long", LONG_STREAM_TOKENS)
        });
        wait_until("the long stream runs", || {
            site.routers[index].metric("baobab_streams ") > 0
        });
        site.routers[index].signal(Signal::TERM);
        assert!(
            site.routers[index].wait_for_exit(),
            "the stop did not succeed"
        );
        assert!(
            long.join().expect("no thread panics"),
            "the long stream was cut"
        );
        site.routers[index].start();
        site.wait_ready();
    }
    let before = load.correct();
    wait_until("requests are served", || load.correct() > before + 10);
    assert_eq!(load.finish(), 0, "requests were interrupted or refused");
}

#[test]
fn killing_the_dispatcher_fails_no_requests_of_other_routers() {
    let mut site = Site::start(3, 2, 4, STEP);
    let dispatcher = site
        .routers
        .iter()
        .position(|router| router.metric("baobab_dispatcher{figure=\"slots\"}") > 0);
    let index = dispatcher.unwrap_or(0);
    let mut victim = site.routers.remove(index);
    let load = Load::start(&site, 6, 30);
    wait_until("requests are served", || load.correct() > 20);
    victim.kill();
    let before = load.correct();
    wait_until("requests are served without it", || {
        load.correct() > before + 40
    });
    assert_eq!(load.finish(), 0);
}

#[test]
fn a_leaving_engine_gets_no_new_streams_and_completes_its_own() {
    let site = Site::start(2, 2, 4, STEP);
    let load = Load::start(&site, 6, 60);
    wait_until("both engines have streams", || {
        site.engines
            .iter()
            .all(|engine| engine.batch().stats().started > 5)
    });
    site.set_leaving_hosts(&["e0"]);
    wait_until("its streams finish", || {
        site.engines[0].batch().stats().running == 0
    });
    let started = site.engines[0].batch().stats().started;
    let before = load.correct();
    wait_until("the other engine serves requests", || {
        load.correct() > before + 30
    });
    assert_eq!(site.engines[0].batch().stats().started, started);
    assert_eq!(site.engines[0].batch().stats().cancelled, 0);
    assert_eq!(load.finish(), 0);
}

#[test]
fn configurations_reach_every_router_and_never_revert() {
    let site = Site::start(3, 1, 4, STEP);
    let mut highest = vec![0; site.routers.len()];
    for number in 0..40 {
        site.apply(&site.declarations(&format!("# change {number}\n")));
        for (router, highest) in site.routers.iter().zip(&mut highest) {
            let version = router.config_version();
            assert!(version >= *highest, "{version} after {highest}");
            *highest = version;
        }
    }
    let last = site.apply(&site.declarations("# last\n"));
    for router in &site.routers {
        wait_until("the last version is active", || {
            router.config_version() == last
        });
    }
}

#[test]
fn a_withdrawn_key_is_refused_by_every_router() {
    let site = Site::start(2, 1, 4, STEP);
    let withdrawn = blake3::hash(KEY.as_bytes()).to_hex().to_string();
    let other = blake3::hash(b"another key").to_hex().to_string();
    site.apply(&site.declarations("").replace(&withdrawn, &other));
    for router in &site.routers {
        wait_until("the key is refused", || {
            chat(router.caller_address, "late", 1)
                .is_ok_and(|response| response.status().as_u16() == 401)
        });
    }
}

#[test]
fn a_router_started_during_a_store_outage_gets_the_configuration_from_a_peer() {
    let mut site = Site::start(2, 1, 4, STEP);
    let version = site.apply(&site.declarations("# newer\n"));
    for router in &site.routers {
        wait_until("the version is active", || {
            router.config_version() == version
        });
    }
    site.platform.state().set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    site.routers[0].kill();
    site.routers[0].start();
    wait_until("the peer's version is active", || {
        site.routers[0].config_version() == version
    });
    let status = site.routers[0].status().expect("the router responds");
    assert!(status["config_confirmed_ms_ago"].is_null(), "{status}");
    let response =
        chat(site.routers[0].caller_address, "in the outage", 5).expect("the router responds");
    assert!(is_correct(response, "in the outage", 5));
}

#[test]
fn forged_and_malformed_datagrams_are_counted_and_dropped() {
    let site = Site::start(1, 1, 4, STEP);
    let router = &site.routers[0];
    let socket = UdpSocket::bind(support::ephemeral_address()).expect("a port is free");
    let packet = Packet {
        sender: 1,
        receiver: 2,
        incarnation: 1,
        number: 1,
        messages: vec![Message::Heartbeat(Heartbeat {
            config_version: u64::MAX,
            draining: true,
        })],
    };
    let forged = Codec::new([0; 32])
        .encode(&packet)
        .expect("the packet fits into a datagram");
    socket
        .send_to(&forged, router.peer_address)
        .expect("the datagram is sent");
    socket
        .send_to(b"garbage", router.peer_address)
        .expect("the datagram is sent");
    for reason in ["forged", "size"] {
        let name = format!("baobab_datagrams_dropped_total{{reason=\"{reason}\"}}");
        wait_until("the datagram is counted", || router.metric(&name) == 1);
    }
    let response = chat(router.caller_address, "after", 5).expect("the router responds");
    assert!(is_correct(response, "after", 5));
}
