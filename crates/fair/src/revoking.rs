//! Taking slots back from running streams.

use {
    crate::{Revocation, routers::Routers},
    baobab_unit::{HostId, WorkspaceId},
    std::time::Duration,
};

/// Time between two revocations of a pool.
const SPACING: Duration = Duration::from_millis(20);
/// Time until a revocation must show in the router's report.
const EXPECTED_EFFECT: Duration = Duration::from_millis(500);

/// A revocation and the router that it goes to.
#[derive(Debug, Clone, Copy)]
pub struct Chosen {
    /// The router.
    pub router: HostId,
    /// The slot.
    pub revocation: Revocation,
}

/// Revocations that were decided a moment ago.
///
/// A workspace that comes upon idle engines rightly takes all of them. When others come, its
/// streams would hold the slots until their ends, far beyond its share; engines can resume
/// streams, so some are stopped and wait again.
#[derive(Debug, Default)]
pub struct Revoking {
    last: Option<Duration>,
    recent: Vec<(Duration, Chosen)>,
}

impl Revoking {
    /// Tells whether the next revocation may be decided.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last.is_none_or(|last| now >= last + SPACING)
    }

    /// Chooses a slot of a workspace: where most of its streams run.
    pub fn choose(
        &mut self,
        now: Duration,
        workspace: WorkspaceId,
        routers: &Routers,
    ) -> Option<Chosen> {
        self.recent.retain(|(at, _)| now < *at + EXPECTED_EFFECT);
        let mut best: Option<(u32, Chosen)> = None;
        for (router, view) in routers.views() {
            for (engine, owner, count) in view.streams() {
                let chosen = Chosen {
                    router,
                    revocation: Revocation { engine, workspace },
                };
                let left = count.saturating_sub(self.pending(&chosen));
                let is_more = best.is_none_or(|(most, _)| left > most);
                if owner == workspace && left > 0 && is_more {
                    best = Some((left, chosen));
                }
            }
        }
        let (_, chosen) = best?;
        self.last = Some(now);
        self.recent.push((now, chosen));
        Some(chosen)
    }

    fn pending(&self, chosen: &Chosen) -> u32 {
        let same = |entry: &&(Duration, Chosen)| {
            entry.1.router == chosen.router && entry.1.revocation == chosen.revocation
        };
        baobab_unit::to_u32(self.recent.iter().filter(same).count())
    }
}
