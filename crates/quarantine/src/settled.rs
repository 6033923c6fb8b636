//! Verdicts on circumstantial evidence.

use {
    crate::{
        Decision, Findings, PartId, Quarantine, hold::Hold, quarantine::quarantined,
        suspect::Suspect,
    },
    std::time::Duration,
};

/// Age from which crashes count as circumstantial evidence. By then, all routers have reported what broke off in
/// them, so that it is known which parts were in every crash.
const SETTLE_TIME: Duration = Duration::from_millis(250);

impl Quarantine {
    /// Quarantines parts by circumstantial evidence. `now` is on the clock used inside.
    pub(crate) fn judge_settled(&mut self, now: Duration) -> Vec<Decision> {
        let until = now.saturating_sub(SETTLE_TIME);
        let convicted: Vec<(PartId, Findings, Duration)> = self
            .suspects
            .iter()
            .filter(|(part, suspect)| {
                suspect.has_several_requests() && !self.holds.contains_key(part)
            })
            .filter_map(|(&part, suspect)| {
                let settled = suspect.as_of(until);
                let findings = settled.findings(part, self.lasting_at(part), &self.log);
                let is_convicted = findings.is_circumstantial
                    && findings.is_conviction()
                    && (findings.is_sufficient() || !self.is_explained(part, &settled, &findings));
                let last_crash = suspect.last_crash()?;
                is_convicted.then_some((part, findings, last_crash))
            })
            .collect();
        let mut decisions = Vec::new();
        for (part, findings, last_crash) in convicted {
            let hold = Hold::new(&findings, last_crash);
            decisions.push(quarantined(part, findings, &hold, now));
            decisions.extend(self.insert_hold(part, hold));
        }
        decisions
    }

    /// Returns whether another part was in every crash that `part` was in, while some requests broke off with
    /// `part` only. Those waited at servers that requests with the other part crashed, unless that was sound
    /// shortly before.
    fn is_explained(&self, part: PartId, suspect: &Suspect, findings: &Findings) -> bool {
        self.suspects.iter().any(|(&other, explanation)| {
            let was_sound = || self.findings(other).is_some_and(|other| other.was_sound);
            other != part
                && !findings.common.contains(&other)
                && suspect.is_within(explanation)
                && !was_sound()
        })
    }
}
