//! Times up to which evidence against parts is void.

use {
    crate::PartId,
    std::{collections::HashMap, time::Duration},
};

/// Maximum number of cleared parts kept.
const MAX_CLEARED: usize = 1024;
/// Time for which a clearance is kept; longer than the longest hold.
const CLEARED_RETENTION: Duration = Duration::from_mins(40);
/// Maximum number of parts per generation.
const MAX_GENERATION: usize = 4096;
/// Maximum time over which a generation is filled.
const GENERATION_TIME: Duration = Duration::from_mins(1);

/// What an answer shows of the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proof {
    /// It went on beyond its beginning. A part that crashes servers later in the answer may do the same.
    Begun,
    /// It is complete, or went on for so long that no part of its prompt crashes servers.
    Lasting,
}

/// Parts known to be sound, by what shows it.
#[derive(Debug, Default)]
pub(crate) struct Soundness {
    begun: SoundParts,
    lasting: SoundParts,
}

impl Soundness {
    /// Returns the time up to which answers that show at least this much show a part to be sound, and what
    /// they show.
    pub(crate) fn sound_at(&self, part: PartId, proof: Proof) -> Option<(Duration, Proof)> {
        let lasting = self.lasting.sound_at(part).map(|at| (at, Proof::Lasting));
        match proof {
            Proof::Begun => lasting.max(self.begun.sound_at(part).map(|at| (at, Proof::Begun))),
            Proof::Lasting => lasting,
        }
    }

    /// Returns the last such time that the other routers know.
    pub(crate) fn announced_at(&self, part: PartId, proof: Proof) -> Option<Duration> {
        let lasting = self.lasting.announced_at(part);
        match proof {
            Proof::Begun => lasting.max(self.begun.announced_at(part)),
            Proof::Lasting => lasting,
        }
    }

    /// Returns the parts that answers have shown this of, to record more.
    pub(crate) fn by_mut(&mut self, proof: Proof) -> &mut SoundParts {
        match proof {
            Proof::Begun => &mut self.begun,
            Proof::Lasting => &mut self.lasting,
        }
    }

    /// Forgets what is too long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.begun.expire(now);
        self.lasting.expire(now);
    }

    /// Returns the number of parts kept.
    pub(crate) fn len(&self) -> usize {
        self.begun.len() + self.lasting.len()
    }
}

/// Parts and the times up to which evidence against them is void.
#[derive(Debug, Default)]
pub(crate) struct SoundParts {
    /// Parts against which there was evidence, here or at another router.
    cleared: HashMap<PartId, Duration>,
    /// Other parts, in the present and the previous generation.
    present: HashMap<PartId, Duration>,
    previous: HashMap<PartId, Duration>,
    rotated_at: Duration,
}

impl SoundParts {
    /// Records that a part without evidence is sound.
    pub(crate) fn on_withstood(&mut self, part: PartId, at: Duration, now: Duration) {
        raise(&mut self.present, part, at);
        if self.present.len() >= MAX_GENERATION {
            self.rotate(now);
        }
    }

    /// Records that a part is sound and that the other routers are told so.
    pub(crate) fn on_cleared(&mut self, part: PartId, at: Duration) {
        if self.cleared.len() >= MAX_CLEARED && !self.cleared.contains_key(&part) {
            let oldest = self.cleared.iter().min_by_key(|(part, at)| (**at, **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.cleared.remove(&oldest);
            }
        }
        raise(&mut self.cleared, part, at);
    }

    /// Returns the time up to which a part is known to be sound.
    fn sound_at(&self, part: PartId) -> Option<Duration> {
        [&self.cleared, &self.present, &self.previous]
            .iter()
            .filter_map(|times| times.get(&part).copied())
            .max()
    }

    fn announced_at(&self, part: PartId) -> Option<Duration> {
        self.cleared.get(&part).copied()
    }

    fn expire(&mut self, now: Duration) {
        self.cleared
            .retain(|_, at| now.saturating_sub(*at) <= CLEARED_RETENTION);
        if now.saturating_sub(self.rotated_at) >= GENERATION_TIME {
            self.rotate(now);
        }
    }

    fn len(&self) -> usize {
        self.cleared.len() + self.present.len() + self.previous.len()
    }

    fn rotate(&mut self, now: Duration) {
        self.previous = std::mem::take(&mut self.present);
        self.rotated_at = now;
    }
}

fn raise(times: &mut HashMap<PartId, Duration>, part: PartId, at: Duration) {
    let time = times.entry(part).or_default();
    *time = at.max(*time);
}
