//! Orders to engines from two routers, one of which is paused beyond its lease.

mod support;

use {
    baobab_standin::engine::Order,
    rustix::process::Signal,
    std::time::Duration,
    support::{Site, wait_until},
};

fn with_version(site: &Site, version: &str) -> String {
    site.declarations("").replace(
        "[engine.e0]\n",
        &format!("[engine.e0]\nversion = {version}\n"),
    )
}

fn last_order(site: &Site) -> Option<Order> {
    site.engines[0].applied_orders().last().cloned()
}

#[test]
fn a_declared_version_is_reached_also_when_the_holder_sleeps() {
    let site = Site::start(2, 1, 4, Duration::from_millis(2));
    site.apply(&with_version(&site, "v1"));
    wait_until("v1 is served", || {
        last_order(&site).is_some_and(|order| order.version == "v1")
    });
    let first_order = last_order(&site).expect("an order was carried out");
    let lease = baobab_store::Table::read(site.platform.state().as_ref(), "orders/lease");
    let row = lease
        .expect("the platform works")
        .expect("a router holds the lease");
    let holder = site
        .routers
        .iter()
        .find(|router| row.value.contains(&format!("{}/", router.host)))
        .expect("the holder is a router of the site");
    holder.signal(Signal::STOP);
    site.apply(&with_version(&site, "v2"));
    // Longer than the lease and the pause before orders to engines that check no fencing number.
    support::wait_at_most(Duration::from_mins(1), "v2 is served", || {
        last_order(&site).is_some_and(|order| order.version == "v2")
    });
    holder.signal(Signal::CONT);
    wait_until("the sleeper serves again", || holder.status().is_some());
    let orders = site.engines[0].applied_orders();
    assert!(
        orders
            .iter()
            .any(|order| order.fencing > first_order.fencing),
        "{orders:?}"
    );
    assert!(orders.is_sorted_by_key(|order| order.fencing), "{orders:?}");
    assert_eq!(orders.last().expect("there are orders").version, "v2");
}
