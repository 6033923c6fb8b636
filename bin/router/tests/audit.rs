//! What the audit says, after a planned stop, of requests that a real router has had.

mod support;

use {
    baobab_audit::{Decision, audit_key, verify},
    rustix::process::Signal,
    std::time::Duration,
    support::{Site, chat, is_right, order},
};

#[test]
fn the_chain_explains_every_request() {
    let mut site = Site::start(1, 1, 4, Duration::from_millis(2));
    let router = site.routers[0].callers;
    assert!(is_right(
        chat(router, "one", 20).expect("it answers"),
        "one",
        20
    ));
    order(router, Some("k1"), "a gasket").expect("it answers");
    order(router, None, "a gasket").expect("it answers");
    site.routers[0].signal(Signal::TERM);
    assert!(site.routers[0].wait());
    let key = audit_key(&support::fleet_key());
    let report = verify(site.platform.state().as_ref(), &key, "audit/").expect("it answers");
    assert_eq!(report.findings, []);
    assert!(report.open_chains.is_empty(), "the stop closes the chain");
    let decisions: Vec<Decision> = report
        .entries
        .into_iter()
        .map(|entry| entry.decision)
        .collect();
    let has = |is_so: &dyn Fn(&Decision) -> bool| decisions.iter().any(is_so);
    assert!(has(&|decision| matches!(
        decision,
        Decision::Configured { version: 1, .. }
    )));
    assert!(has(
        &|decision| matches!(decision, Decision::Admitted { workspace, .. } if workspace == "north")
    ));
    assert!(has(
        &|decision| matches!(decision, Decision::Granted { engine, .. } if engine == "e0")
    ));
    assert!(has(&|decision| matches!(
        decision,
        Decision::Served { tokens: 20, .. }
    )));
    assert!(has(
        &|decision| matches!(decision, Decision::Once { verdict, .. } if verdict == "ran")
    ));
    assert!(has(&|decision| matches!(
        decision,
        Decision::Refused { code, ran, .. } if code == "idempotency_key_required" && ran == "no"
    )));
}
