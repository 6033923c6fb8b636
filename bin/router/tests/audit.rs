//! The audit chain that a router has written after a planned stop.

mod support;

use {
    baobab_audit::{Decision, audit_key, verify},
    rustix::process::Signal,
    std::time::Duration,
    support::{Site, chat, is_correct, place_order},
};

#[test]
fn the_audit_chain_has_a_decision_for_every_request() {
    let mut site = Site::start(1, 1, 4, Duration::from_millis(2));
    let router = site.routers[0].caller_address;
    assert!(is_correct(
        chat(router, "one", 20).expect("the router responds"),
        "one",
        20
    ));
    place_order(router, Some("k1"), "a gasket").expect("the router responds");
    place_order(router, None, "a gasket").expect("the router responds");
    site.routers[0].signal(Signal::TERM);
    assert!(site.routers[0].wait_for_exit());
    let key = audit_key(&support::fleet_key());
    let report =
        verify(site.platform.state().as_ref(), &key, "audit/").expect("the audit is readable");
    assert_eq!(report.findings, []);
    assert!(report.open_chains.is_empty(), "the stop closes the chain");
    let decisions: Vec<Decision> = report
        .records
        .into_iter()
        .map(|record| record.decision)
        .collect();
    let has = |condition: &dyn Fn(&Decision) -> bool| decisions.iter().any(condition);
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
