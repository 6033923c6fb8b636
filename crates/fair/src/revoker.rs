//! Revocation of slots from running streams.

use {
    crate::{Revocation, routers::Routers},
    baobab_unit::{HostId, WorkspaceId},
    std::time::Duration,
};

/// Minimum interval between two revocations of a pool.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which the router's report reflects a revocation.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// A revocation and its destination.
#[derive(Debug, Clone, Copy)]
pub struct RoutedRevocation {
    /// The router that runs the stream.
    pub router: HostId,
    /// The slot to revoke.
    pub revocation: Revocation,
}

/// Chooses slots to revoke, at a limited rate.
///
/// A workspace may use all idle engines. When others arrive, its streams would occupy the slots
/// until they end, far beyond its share; engines can resume streams, so some are stopped and wait
/// again.
#[derive(Debug, Default)]
pub struct Revoker {
    last: Option<Duration>,
    recent: Vec<(Duration, RoutedRevocation)>,
}

impl Revoker {
    /// Returns whether the minimum interval since the last revocation is over.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last.is_none_or(|last| now >= last + MIN_INTERVAL)
    }

    /// Chooses a slot of a workspace on the router and engine with the most of its streams.
    pub fn choose(
        &mut self,
        now: Duration,
        workspace: WorkspaceId,
        routers: &Routers,
    ) -> Option<RoutedRevocation> {
        self.recent.retain(|(at, _)| now < *at + REPORT_DELAY);
        let mut best: Option<(u32, RoutedRevocation)> = None;
        for (router, view) in routers.views() {
            for (engine, owner, count) in view.streams() {
                let chosen = RoutedRevocation {
                    router,
                    revocation: Revocation { engine, workspace },
                };
                let remaining = count.saturating_sub(self.unconfirmed(&chosen));
                let is_larger = best.is_none_or(|(max, _)| remaining > max);
                if owner == workspace && remaining > 0 && is_larger {
                    best = Some((remaining, chosen));
                }
            }
        }
        let (_, chosen) = best?;
        self.last = Some(now);
        self.recent.push((now, chosen));
        Some(chosen)
    }

    fn unconfirmed(&self, chosen: &RoutedRevocation) -> u32 {
        let same = |entry: &&(Duration, RoutedRevocation)| {
            entry.1.router == chosen.router && entry.1.revocation == chosen.revocation
        };
        baobab_unit::to_u32(self.recent.iter().filter(same).count())
    }
}
