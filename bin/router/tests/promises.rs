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
    support::{KEY, Site, chat, is_right, order, wait_until},
};

const STEP: Duration = Duration::from_millis(5);
/// Tokens of a stream of some four seconds.
const LONG_TOKENS: u64 = 800;

#[test]
fn the_same_key_at_two_routers_at_once_runs_once() {
    let site = Site::start(2, 1, 4, STEP);
    for round in 0..50 {
        let key = format!("key-{round}");
        let threads: Vec<_> = site
            .routers
            .iter()
            .map(|router| {
                let (address, key) = (router.callers, key.clone());
                thread::spawn(move || {
                    let response = order(address, Some(&key), "a gasket").expect("it answers");
                    response.status().as_u16()
                })
            })
            .collect();
        let statuses: Vec<u16> = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"))
            .collect();
        assert!(statuses.contains(&200), "{statuses:?}");
        // The other was told the same answer, or that it may have run.
        assert!(statuses.iter().all(|status| [200, 502].contains(status)));
        assert_eq!(site.service.stats().executions[&key], 1, "{key}");
    }
}

#[test]
fn orders_under_a_failing_store_run_at_most_once_and_never_after_a_no() {
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
        let response = order(site.routers[0].callers, Some(name), "a gasket").expect("it answers");
        platform.set_faults(Faults::default());
        let is_fine = response.is_success();
        let body = response.text().expect("it has a body");
        let ran = site
            .service
            .stats()
            .executions
            .get(name)
            .copied()
            .unwrap_or(0);
        assert!(ran <= 1, "{name}");
        assert!(!is_fine || ran == 1, "{name}: {body}");
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
fn a_router_killed_or_paused_during_an_order_never_lets_it_run_twice() {
    let mut site = Site::start(2, 1, 4, STEP);
    for round in 0..8_u64 {
        let key = format!("key-{round}");
        let (victim, other) = (site.routers[0].callers, site.routers[1].callers);
        let caller = {
            let key = key.clone();
            thread::spawn(move || order(victim, Some(&key), "a gasket").is_ok())
        };
        thread::sleep(Duration::from_millis(round * 5));
        if round % 2 == 0 {
            site.routers[0].kill();
        } else {
            site.routers[0].signal(Signal::STOP);
        }
        order(other, Some(&key), "a gasket").expect("the other router answers");
        if round % 2 == 0 {
            site.routers[0].start();
        } else {
            site.routers[0].signal(Signal::CONT);
        }
        caller.join().expect("no thread panics");
        site.wait_ready();
        let response = order(other, Some(&key), "a gasket").expect("the other router answers");
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

/// Callers that go on until told to stop, each at a router that is ready.
struct Load {
    stop: Arc<AtomicBool>,
    right: Arc<AtomicU64>,
    wrong: Arc<AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    fn start(site: &Site, callers: usize, tokens: u64) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let (right, wrong): (Arc<AtomicU64>, Arc<AtomicU64>) = Default::default();
        let routers: Vec<_> = site.routers.iter().map(|router| router.callers).collect();
        let threads = (0..callers)
            .map(|caller| {
                let (stop, right, wrong) =
                    (Arc::clone(&stop), Arc::clone(&right), Arc::clone(&wrong));
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
                        let is_fine = chat(router, &name, tokens)
                            .is_ok_and(|response| is_right(response, &name, tokens));
                        let counter = if is_fine { &right } else { &wrong };
                        counter.fetch_add(1, Ordering::Relaxed);
                    }
                })
            })
            .collect();
        Self {
            stop,
            right,
            wrong,
            threads,
        }
    }

    fn right(&self) -> u64 {
        self.right.load(Ordering::Relaxed)
    }

    /// Stops and returns the answers that were not right.
    fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no thread panics");
        }
        self.wrong.load(Ordering::Relaxed)
    }
}

fn is_ready(router: std::net::SocketAddr) -> bool {
    attohttpc::get(format!("http://{router}/ready"))
        .send()
        .is_ok_and(|response| response.is_success())
}

#[test]
fn every_router_is_stopped_and_started_under_load_and_nothing_is_interrupted() {
    let mut site = Site::start(3, 2, 4, STEP);
    let load = Load::start(&site, 6, 30);
    for index in 0..site.routers.len() {
        let before = load.right();
        wait_until("requests are served", || load.right() > before + 10);
        // A stream that runs for longer than the notice to the balancer.
        let address = site.routers[index].callers;
        let long = thread::spawn(move || {
            let response = chat(address, "long", LONG_TOKENS).expect("it answers");
            is_right(response, "long", LONG_TOKENS)
        });
        wait_until("the long stream runs", || {
            site.routers[index].metric("baobab_streams ") > 0
        });
        site.routers[index].signal(Signal::TERM);
        assert!(site.routers[index].wait(), "the stop was not orderly");
        assert!(
            long.join().expect("no thread panics"),
            "the long stream was cut"
        );
        site.routers[index].start();
        site.wait_ready();
    }
    let before = load.right();
    wait_until("requests are served", || load.right() > before + 10);
    assert_eq!(load.finish(), 0, "requests were interrupted or refused");
}

#[test]
fn a_killed_dispatcher_disturbs_no_other_routers_requests() {
    let mut site = Site::start(3, 2, 4, STEP);
    let dispatcher = site
        .routers
        .iter()
        .position(|router| router.metric("baobab_dispatcher{figure=\"slots\"}") > 0);
    let index = dispatcher.unwrap_or(0);
    let mut victim = site.routers.remove(index);
    let load = Load::start(&site, 6, 30);
    wait_until("requests are served", || load.right() > 20);
    victim.kill();
    let before = load.right();
    wait_until("requests are served without it", || {
        load.right() > before + 40
    });
    assert_eq!(load.finish(), 0);
}

#[test]
fn a_leaving_engine_gets_no_new_work_and_its_streams_finish() {
    let site = Site::start(2, 2, 4, STEP);
    let load = Load::start(&site, 6, 60);
    wait_until("both engines work", || {
        site.engines
            .iter()
            .all(|engine| engine.batch().stats().started > 5)
    });
    site.list_leaving(&["e0"]);
    wait_until("its streams finish", || {
        site.engines[0].batch().stats().running == 0
    });
    let started = site.engines[0].batch().stats().started;
    let before = load.right();
    wait_until("the other engine serves", || load.right() > before + 30);
    assert_eq!(site.engines[0].batch().stats().started, started);
    assert_eq!(site.engines[0].batch().stats().cancelled, 0);
    assert_eq!(load.finish(), 0);
}

#[test]
fn configurations_come_into_force_everywhere_and_never_go_back() {
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
        wait_until("the last version is in force", || {
            router.config_version() == last
        });
    }
}

#[test]
fn a_withdrawn_key_stops_working_on_every_router() {
    let site = Site::start(2, 1, 4, STEP);
    let withdrawn = blake3::hash(KEY.as_bytes()).to_hex().to_string();
    let other = blake3::hash(b"another key").to_hex().to_string();
    site.apply(&site.declarations("").replace(&withdrawn, &other));
    for router in &site.routers {
        wait_until("the key is refused", || {
            chat(router.callers, "late", 1).is_ok_and(|response| response.status().as_u16() == 401)
        });
    }
}

#[test]
fn a_router_that_starts_empty_during_an_outage_takes_its_peers_configuration() {
    let mut site = Site::start(2, 1, 4, STEP);
    let version = site.apply(&site.declarations("# newer\n"));
    for router in &site.routers {
        wait_until("it is in force", || router.config_version() == version);
    }
    site.platform.state().set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    site.routers[0].kill();
    site.routers[0].start();
    wait_until("the peer's version is in force", || {
        site.routers[0].config_version() == version
    });
    let status = site.routers[0].status().expect("it answers");
    assert!(status["config_confirmed_ms_ago"].is_null(), "{status}");
    let answer = chat(site.routers[0].callers, "in the outage", 5).expect("it answers");
    assert!(is_right(answer, "in the outage", 5));
}

#[test]
fn forged_and_replayed_datagrams_are_counted_and_dropped() {
    let site = Site::start(1, 1, 4, STEP);
    let router = &site.routers[0];
    let socket = UdpSocket::bind(support::any_address()).expect("a port is free");
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
    let forged = Codec::new([0; 32]).encode(&packet).expect("it fits");
    socket.send_to(&forged, router.peer).expect("it is sent");
    socket.send_to(b"garbage", router.peer).expect("it is sent");
    for reason in ["forged", "size"] {
        let name = format!("baobab_datagrams_dropped_total{{reason=\"{reason}\"}}");
        wait_until("it is counted", || router.metric(&name) == 1);
    }
    let answer = chat(router.callers, "after", 5).expect("it answers");
    assert!(is_right(answer, "after", 5));
}
