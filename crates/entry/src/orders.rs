//! The thread that gives orders to engines, on the one host that holds the lease.

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

/// Time between two rounds.
const ROUND: Duration = Duration::from_secs(1);

/// Starts the thread.
pub fn spawn_orders(context: Arc<AppContext>) -> Result<()> {
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            let own = format!("{}/{}", context.conf.host, context.incarnation);
            let mut lease = Lease::start(own);
            let mut plan = Plan::default();
            loop {
                thread::sleep(ROUND);
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
    let in_force = context.config.get();
    in_force.is_some_and(|in_force| {
        let engines = &in_force.declarations.engines;
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
    let Some(in_force) = context.config.get() else {
        return;
    };
    for engine in &in_force.declarations.engines {
        let Some(target) = target_of(engine) else {
            continue;
        };
        let address = context.reached(engine.address);
        let Some(serves) = context.orders.version(address) else {
            continue;
        };
        // The clock is read anew for each order: the process may have been paused meanwhile.
        let now = context.clock.now();
        let Some(fencing) = lease.fencing(now) else {
            return;
        };
        if let Some(order) = plan.due_order(now, fencing, &target, &serves) {
            let order = EngineOrder {
                fencing: order.fencing,
                version: order.version,
            };
            let taken = context.orders.order(address, &order);
            log::info!(
                "engine {} was ordered to serve {}: taken {taken}",
                engine.name,
                order.version
            );
            context.audit.add(Decision::Ordered {
                engine: engine.name.clone(),
                version: order.version,
                fencing,
                taken,
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
