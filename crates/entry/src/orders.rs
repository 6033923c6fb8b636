//! The thread that gives orders to engines on the one host that holds the lease.

use {
    crate::context::AppContext,
    baobab_audit::Decision,
    baobab_conf::Engine,
    baobab_engine::EngineOrder,
    baobab_orders::{EngineTarget, Lease, LeaseEvent, LeaseStep, Plan},
    std::{
        io::Result,
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
};

/// Interval between two rounds of orders.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the thread. It gives orders only while this host is elected, holds the lease and is not
/// draining.
pub fn spawn_orders(context: Arc<AppContext>) -> Result<()> {
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            let holder = format!("{}/{}", context.conf.host, context.incarnation);
            let mut lease = Lease::start(holder);
            let mut plan = Plan::default();
            loop {
                thread::sleep(ROUND_INTERVAL);
                if has_targets(&context) && is_elected(&context) {
                    run_lease(&context, &mut lease);
                    give_orders(&context, &lease, &mut plan);
                } else {
                    lease.release();
                }
            }
        })
        .map(drop)
}

fn is_elected(context: &AppContext) -> bool {
    context.is_orders_host.load(Ordering::Relaxed) && !context.draining.load(Ordering::Relaxed)
}

fn has_targets(context: &AppContext) -> bool {
    let configuration = context.config.get();
    configuration.is_some_and(|configuration| {
        let engines = &configuration.declarations.engines;
        engines.iter().any(|engine| engine.version.is_some())
    })
}

fn run_lease(context: &AppContext, lease: &mut Lease) {
    let mut step = lease.step(context.clock.now());
    while let Some(call) = step {
        let table = context.platform.as_ref();
        let event = match call {
            LeaseStep::Read(key) => LeaseEvent::Read(table.read(&key)),
            LeaseStep::Insert(insert) => LeaseEvent::Inserted(table.insert(insert)),
            LeaseStep::Replace(replace) => LeaseEvent::Replaced(table.replace(replace)),
        };
        step = lease.on_event(context.clock.now(), event);
    }
}

fn give_orders(context: &AppContext, lease: &Lease, plan: &mut Plan) {
    let Some(configuration) = context.config.get() else {
        return;
    };
    for engine in &configuration.declarations.engines {
        let Some(target) = target_of(engine) else {
            continue;
        };
        let address = context.connect_address(engine.address);
        let Some(served_version) = context.orders.version(address) else {
            continue;
        };
        // Reads the clock for each order, because the process may have been paused since the last.
        let now = context.clock.now();
        let Some(fencing) = lease.fencing(now) else {
            return;
        };
        if let Some(order) = plan.due_order(now, fencing, &target, &served_version) {
            let order = EngineOrder {
                fencing: order.fencing,
                version: order.version,
            };
            let accepted = context.orders.order(address, &order);
            log::info!(
                "engine {} was ordered to serve version {}; accepted: {accepted}",
                engine.name,
                order.version
            );
            context.audit.record(Decision::Ordered {
                engine: engine.name.clone(),
                version: order.version,
                fencing,
                taken: accepted,
            });
        }
    }
}

fn target_of(engine: &Engine) -> Option<EngineTarget> {
    Some(EngineTarget {
        engine: engine.id(),
        version: engine.version.clone()?,
        checks_fencing: engine.checks_fencing,
    })
}
