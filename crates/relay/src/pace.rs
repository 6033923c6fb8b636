//! Intervals of the periodic tasks.

use {
    crate::core::{Core, PEER_TIMEOUT},
    baobab_unit::to_u32,
    std::time::Duration,
};

/// Minimum gossip interval: a few messages are sent during the prefill of one prompt.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(15);
/// The gossip interval is at least this times the number of peers, which bounds the datagrams per
/// second that a router receives.
const GOSSIP_INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// Interval of share refills.
pub const SHARES_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval is at least this times the number of peers; the rates are averages over two
/// seconds.
const RATES_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Minimum interval of reports of the workspaces' rates.
pub const RATES_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of messages to all routers in a fleet that asks owners, per other router.
const HEARTBEAT_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Heartbeats without a datagram after which another router counts as silent.
const SILENT_AFTER_HEARTBEATS: u32 = 3;
/// Interval of reports of the workspaces' rates to their owners.
const OWNED_RATES_INTERVAL: Duration = Duration::from_millis(400);

/// Intervals that depend on the size of the fleet.
#[derive(Debug)]
pub struct Pace {
    /// Interval of the task itself.
    pub tick: Duration,
    /// Interval of messages to all routers, in a fleet that asks owners.
    pub broadcast_interval: Duration,
    /// Interval of reports of the workspaces' rates.
    pub rates_interval: Duration,
    /// Time without reports after which another router's loads and rates are dropped.
    pub peer_timeout: Duration,
    /// Time without datagrams after which another router counts as silent.
    pub silent_after: Duration,
}

impl Pace {
    /// Returns the intervals for the present size of the fleet.
    pub fn of(core: &Core, asks_owners: bool) -> Self {
        let peer_count = peer_count(core);
        let interval = MIN_GOSSIP_INTERVAL.max(GOSSIP_INTERVAL_PER_PEER * peer_count);
        if !asks_owners {
            return Self {
                tick: interval,
                broadcast_interval: Duration::ZERO,
                rates_interval: RATES_INTERVAL.max(RATES_INTERVAL_PER_PEER * peer_count),
                peer_timeout: PEER_TIMEOUT,
                silent_after: Duration::ZERO,
            };
        }
        let heartbeat_interval = HEARTBEAT_INTERVAL_PER_PEER * peer_count;
        let reads_tables = !core.shared.tables.follows_gossip();
        Self {
            tick: SHARES_INTERVAL,
            broadcast_interval: if reads_tables {
                interval
            } else {
                heartbeat_interval
            },
            rates_interval: OWNED_RATES_INTERVAL,
            peer_timeout: PEER_TIMEOUT,
            silent_after: heartbeat_interval * SILENT_AFTER_HEARTBEATS,
        }
    }
}

fn peer_count(core: &Core) -> u32 {
    to_u32(core.peer_directory.borrow().fleet_size() - 1)
}
