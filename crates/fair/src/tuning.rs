//! Parameters of dispatch.

use {
    baobab_unit::{EngineId, WorkspaceId},
    std::time::Duration,
};

/// A workspace's weight.
#[derive(Debug, Clone, Copy)]
pub struct WorkspaceWeight {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its weight.
    pub weight: u32,
}

/// An engine's slots.
#[derive(Debug, Clone, Copy)]
pub struct EngineSlots {
    /// The engine.
    pub engine: EngineId,
    /// Streams that it may have at the same time.
    pub slots: u32,
    /// Whether it is leaving and gets no new work.
    pub leaving: bool,
}

/// Times and bounds of dispatch. Times of service are seconds of the fleet's rate.
#[derive(Debug, Clone)]
pub struct Tuning {
    /// Time that each running stream is charged ahead.
    pub lookahead: Duration,
    /// Time that a grant stays valid at the router.
    pub grant_valid: Duration,
    /// Time after which an unanswered grant's slot is free again.
    pub grant_reclaim: Duration,
    /// Time after which an unanswered grant is sent again.
    pub grant_repeat: Duration,
    /// Time after which a report is answered where no grant is sent to its router anyway.
    pub answer_delay: Duration,
    /// Time between two messages that tell peers every active workspace.
    pub update_refresh: Duration,
    /// Least time between two messages to peers.
    pub update_spacing: Duration,
    /// Error of a peer's extrapolation that is worth a message, as service of the share.
    pub update_error: Duration,
    /// Time that a peer's update stays valid unless a newer one arrives.
    pub update_valid: Duration,
    /// Service that urgent requests may use ahead of the share.
    pub urgent_credit: Duration,
    /// Service that a request of the pool's own domain may go ahead of a remote one.
    pub locality_credit: Duration,
    /// Service by which a workspace has to be ahead of a backlogged one for a slot to be taken back.
    pub revoke_lead: Duration,
    /// Largest service that a backlogged workspace may catch up.
    pub catch_up: Duration,
    /// Time without backlog after which a workspace counts as idle.
    pub idle_after: Duration,
    /// Time of waiting after which a workspace counts as backlogged.
    pub backlog_after: Duration,
    /// Time that a new dispatcher collects reports before it grants.
    pub settle: Duration,
    /// Time without a report after which a router's rows are dropped.
    pub router_silence: Duration,
    /// Time between two rounds of decisions while no slot is free.
    pub idle_round: Duration,
    /// Time between two rounds for each workspace that waits on a router.
    pub round_for_each_offer: Duration,
    /// Slots of the pool kept for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lookahead: Duration::from_secs(2),
            grant_valid: Duration::from_millis(500),
            grant_reclaim: Duration::from_secs(1),
            grant_repeat: Duration::from_millis(60),
            answer_delay: Duration::from_millis(150),
            update_refresh: Duration::from_secs(2),
            update_spacing: Duration::from_millis(150),
            update_error: Duration::from_millis(400),
            update_valid: Duration::from_secs(5),
            urgent_credit: Duration::from_millis(500),
            locality_credit: Duration::from_millis(700),
            revoke_lead: Duration::from_secs(2),
            catch_up: Duration::from_secs(4),
            idle_after: Duration::from_secs(1),
            backlog_after: Duration::from_millis(250),
            settle: Duration::from_millis(300),
            router_silence: Duration::from_secs(3),
            idle_round: Duration::from_millis(50),
            round_for_each_offer: Duration::from_micros(5),
            urgent_reserve_slots: 1,
        }
    }
}
