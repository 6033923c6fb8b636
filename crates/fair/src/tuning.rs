//! Parameters of the dispatcher.

use {
    baobab_unit::{EngineId, WorkspaceId},
    std::time::Duration,
};

/// Weight of a workspace in the fair sharing of slots.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceWeight {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Share relative to the sum of the weights of all active workspaces.
    pub weight: u32,
}

/// Slots of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSlots {
    /// The engine.
    pub engine: EngineId,
    /// Maximum number of concurrent streams.
    pub slots: u32,
    /// Whether the engine is draining and gets no new requests.
    pub leaving: bool,
}

/// Times and limits of dispatch. Amounts of service are durations at the fleet's token rate.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Service that each running stream is charged in advance, in time at the stream's rate.
    pub lookahead: Duration,
    /// Validity of a grant at the router.
    pub grant_valid: Duration,
    /// Time after which the slot of an unacknowledged grant is free again.
    pub grant_reclaim: Duration,
    /// Time after which an unacknowledged grant is sent again.
    pub grant_retry: Duration,
    /// Time after which a report is acknowledged if no grant to its router has done so.
    pub ack_delay: Duration,
    /// Interval between pool updates that list every workspace, changed or not.
    pub update_refresh: Duration,
    /// Minimum interval between two pool updates.
    pub min_update_interval: Duration,
    /// Maximum error of a peer's extrapolation, as service at the rate of the workspace's share; a
    /// larger one triggers an update.
    pub max_update_error: Duration,
    /// Time after which a peer's last update expires.
    pub update_valid: Duration,
    /// Service by which urgent requests may exceed the workspace's share.
    pub urgent_credit: Duration,
    /// Service by which a request of the pool's own domain is preferred to a remote one.
    pub locality_credit: Duration,
    /// Lead over a backlogged workspace above which a slot is revoked.
    pub revoke_lead: Duration,
    /// Maximum service that a backlogged workspace may catch up.
    pub catch_up: Duration,
    /// Time without a backlog after which a workspace is idle.
    pub idle_after: Duration,
    /// Time of continuous waiting after which a workspace is backlogged.
    pub backlog_after: Duration,
    /// Time for which a new dispatcher collects reports before its first grant.
    pub settle_time: Duration,
    /// Time without a report after which a router's rows are cleared.
    pub router_timeout: Duration,
    /// Interval between decisions while no slot is free.
    pub no_free_slot_interval: Duration,
    /// Interval between decisions per offer, that is per workspace waiting on a router.
    pub interval_per_offer: Duration,
    /// Slots of the pool reserved for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lookahead: Duration::from_secs(2),
            grant_valid: Duration::from_millis(500),
            grant_reclaim: Duration::from_secs(1),
            grant_retry: Duration::from_millis(60),
            ack_delay: Duration::from_millis(150),
            update_refresh: Duration::from_secs(2),
            min_update_interval: Duration::from_millis(150),
            max_update_error: Duration::from_millis(400),
            update_valid: Duration::from_secs(5),
            urgent_credit: Duration::from_millis(500),
            locality_credit: Duration::from_millis(700),
            revoke_lead: Duration::from_secs(2),
            catch_up: Duration::from_secs(4),
            idle_after: Duration::from_secs(1),
            backlog_after: Duration::from_millis(250),
            settle_time: Duration::from_millis(300),
            router_timeout: Duration::from_secs(3),
            no_free_slot_interval: Duration::from_millis(50),
            interval_per_offer: Duration::from_micros(5),
            urgent_reserve_slots: 1,
        }
    }
}
