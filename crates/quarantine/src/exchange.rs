//! Exchange of quarantined parts between routers.

use {
    crate::{
        Decision, MAX_PARTS, MAX_RECORDS, PartId, Proof, Quarantine, Record,
        hold::Hold,
        quarantine::{CLOCK_START, widened},
    },
    baobab_unit::WorkspaceId,
    std::{cmp::Reverse, time::Duration},
};

impl Quarantine {
    /// Returns the quarantined parts for the other routers, those with the newest crashes first.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<Record> {
        let now = now + CLOCK_START;
        let mut holds: Vec<(&PartId, &Hold)> = self.holds.iter().collect();
        holds.sort_by_key(|(part, hold)| (Reverse(hold.last_crash), **part));
        holds
            .into_iter()
            .take(MAX_RECORDS)
            .map(|(part, hold)| hold.record(*part, now))
            .collect()
    }

    /// Merges a quarantined part of another router.
    pub fn merge(&mut self, record: &Record, now: Duration) -> Vec<Decision> {
        let now = now + CLOCK_START;
        let part = record.part;
        if record.common.len() > MAX_PARTS || !record.common.contains(&part) {
            return Vec::new();
        }
        if let Some(hold) = self.holds.get_mut(&part) {
            let is_widened = hold.merge(record, now);
            return is_widened
                .then(|| widened(part, hold))
                .into_iter()
                .collect();
        }
        let Some(mut hold) = Hold::adopt(record, now) else {
            return Vec::new();
        };
        for proof in [Proof::Begun, Proof::Lasting] {
            if let Some((sound_at, proof)) = self.soundness.sound_at(part, proof)
                && hold.is_lifted_by(proof, sound_at)
            {
                return vec![self.still_cleared(part, proof, sound_at)];
            }
        }
        if let Some(findings) = self.findings(part) {
            let parts: Vec<PartId> = findings.common.into_iter().collect();
            let workspaces: Vec<WorkspaceId> = findings.workspaces.into_iter().collect();
            hold.widen(&parts, &workspaces);
        }
        let adopted = Decision::Adopted {
            part,
            common: hold.common.clone(),
            workspaces: hold.workspaces.clone(),
            hold: hold.remaining(now),
            level: hold.level,
        };
        let displaced = self.insert_hold(part, hold);
        std::iter::once(adopted).chain(displaced).collect()
    }
}
