//! Retry budgets of this router, and the exchange of their histories: a few other routers keep what this run has
//! counted, and tell the next one.

use {
    crate::{
        core::Core,
        forward::Job,
        gossip::{GossipMessage, KeptHistory, RetryMessage},
        settings::Bounds,
    },
    baobab_retry::{HistoryKeeper, RetryBudgets, RetryLimits, ServiceId},
    baobab_unit::{HostId, id_of, millis},
    std::{cell::RefCell, net::SocketAddr, time::Duration},
};

/// Routers that keep the history of one. Some of them may end at the same time.
const KEEPERS: usize = 3;
/// Maximum number of services in a datagram, so that no link fragments it.
const MAX_SERVICES: usize = 8;
/// Interval of reports while nothing is retried. They show the next run that none is missing.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of queries. The keepers may not know this run yet.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start in which keepers are asked.
const QUERY_PERIOD: Duration = Duration::from_secs(4);

/// Retry budgets of a router, by the names of services, and the histories that it keeps for others.
#[derive(Debug)]
pub struct Retries {
    budgets: RefCell<RetryBudgets>,
    keeper: RefCell<HistoryKeeper>,
    exchange: RefCell<Exchange>,
}

#[derive(Debug, Default)]
struct Exchange {
    reported_at: Option<Duration>,
    asked_at: Option<Duration>,
}

impl Retries {
    /// Creates the budgets of a router that has just started.
    #[must_use]
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            budgets: RefCell::new(RetryBudgets::new(limits(bounds))),
            keeper: RefCell::default(),
            exchange: RefCell::default(),
        }
    }
}

fn limits(bounds: &Bounds) -> RetryLimits {
    RetryLimits {
        ratio: bounds.retry_ratio,
        allowance: bounds.retry_allowance,
        window: bounds.retry_window,
    }
}

fn service_id(job: &Job) -> ServiceId {
    id_of(&job.service)
}

/// Applies changed limits of the deployment.
pub fn on_bounds(core: &Core, bounds: &Bounds) {
    let mut budgets = core.retries.budgets.borrow_mut();
    budgets.set_limits(limits(bounds), core.now());
}

/// Records that this is the host's first run.
pub fn on_first_run(core: &Core) {
    core.retries.budgets.borrow_mut().on_first_run();
}

/// Records how many routers are listed.
pub fn on_listed(core: &Core) {
    let peer_directory = core.peer_directory.borrow();
    if peer_directory.is_listed() {
        let mut budgets = core.retries.budgets.borrow_mut();
        budgets.set_fleet_size(peer_directory.fleet_size(), core.now());
    }
}

/// Counts a caller's request.
pub fn on_request(core: &Core, job: &Job) {
    let mut budgets = core.retries.budgets.borrow_mut();
    budgets.on_request(service_id(job), core.now());
}

/// Takes a retry of a request. Returns whether there was one left.
pub fn try_retry(core: &Core, job: &Job, reason: &str) -> bool {
    let now = core.now();
    let mut budgets = core.retries.budgets.borrow_mut();
    let decision = budgets.try_retry(service_id(job), now);
    log::info!(
        id = job.id.as_str(),
        service = job.service.as_str(),
        reason,
        is_allowed = decision.is_allowed,
        requests = decision.requests,
        retries = decision.retries,
        fixed = decision.fixed,
        fraction = decision.fraction,
        run_ms = millis(now);
        "retry is decided"
    );
    if decision.is_allowed {
        if budgets.is_history_known(now) {
            report(core, &mut budgets, now);
        }
        core.metrics.retries.with_label_values(&[reason]).inc();
    } else {
        core.metrics
            .retries_denied
            .with_label_values(&[job.service.as_str()])
            .inc();
    }
    decision.is_allowed
}

/// Returns whether a request may be retried, without taking a retry.
pub fn may_retry(core: &Core, job: &Job) -> bool {
    let mut budgets = core.retries.budgets.borrow_mut();
    let decision = budgets.may_retry(service_id(job), core.now());
    decision.is_allowed
}

/// Drops old histories of others.
pub fn expire(core: &Core, now: Duration) {
    let window = core.retries.budgets.borrow().window();
    core.retries.keeper.borrow_mut().expire(window, now);
}

/// Reports what was counted to the keepers, or asks them for what the earlier run has counted, when it is
/// due.
pub fn exchange(core: &Core, now: Duration) {
    let mut exchange = core.retries.exchange.borrow_mut();
    let mut budgets = core.retries.budgets.borrow_mut();
    if budgets.is_history_known(now) {
        let is_reported = |at| now < at + REPORT_INTERVAL;
        if !exchange.reported_at.is_some_and(is_reported) {
            drop(exchange);
            report(core, &mut budgets, now);
        }
        return;
    }
    let is_asked = |at| now < at + QUERY_INTERVAL;
    if now > QUERY_PERIOD || exchange.asked_at.is_some_and(is_asked) {
        return;
    }
    exchange.asked_at = Some(now);
    let query = RetryMessage {
        is_query: true,
        ..RetryMessage::default()
    };
    send_to_keepers(core, query, now);
}

/// Reports what was counted to the keepers.
fn report(core: &Core, budgets: &mut RetryBudgets, now: Duration) {
    core.retries.exchange.borrow_mut().reported_at = Some(now);
    let report = RetryMessage {
        history: Some(budgets.history(MAX_SERVICES, now)),
        ..RetryMessage::default()
    };
    send_to_keepers(core, report, now);
}

fn send_to_keepers(core: &Core, message: RetryMessage, now: Duration) {
    let keepers = core.peer_directory.borrow().history_keepers(KEEPERS, now);
    if !keepers.is_empty() {
        send(core, message, &keepers);
    }
}

/// Keeps the history of another router, answers its query, or takes its answer.
pub fn on_message(core: &Core, host: HostId, message: RetryMessage) {
    let now = core.now();
    if let Some(history) = message.history {
        let mut keeper = core.retries.keeper.borrow_mut();
        keeper.keep(host, history, now);
    }
    if message.is_query {
        answer(core, host, now);
    }
    if let Some(kept) = message.answer {
        on_answer(core, host, &kept, now);
    }
}

fn answer(core: &Core, host: HostId, now: Duration) {
    let kept = core.retries.keeper.borrow().get(host, now);
    let address = core.peer_directory.borrow().address(host);
    let (Some((history, reported_ago)), Some(address)) = (kept, address) else {
        return;
    };
    let message = RetryMessage {
        answer: Some(KeptHistory {
            history,
            reported_ago,
        }),
        ..RetryMessage::default()
    };
    send(core, message, &[address]);
}

fn on_answer(core: &Core, host: HostId, kept: &KeptHistory, now: Duration) {
    let mut budgets = core.retries.budgets.borrow_mut();
    if budgets.is_history_known(now) {
        return;
    }
    let is_used = budgets.on_history(&kept.history, kept.reported_ago, now);
    if is_used {
        // The keepers' histories lack what this run has counted.
        report(core, &mut budgets, now);
    }
    log::info!(
        router = host,
        services = kept.history.services.len(),
        reported_ago_ms = millis(kept.reported_ago),
        is_used;
        "another router has told what the earlier run has retried"
    );
}

fn send(core: &Core, message: RetryMessage, destinations: &[SocketAddr]) {
    let message = GossipMessage {
        retries: message,
        ..GossipMessage::default()
    };
    core.socket.send(&message, destinations, &core.metrics);
}
