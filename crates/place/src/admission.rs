//! Whether an engine may be given a request: on time, with a slot, with memory.

use crate::{
    AdmissionClass, Load, PlacementRequest, Placer, Prompt, Server, candidate::Obstacle,
    convert::millis,
};

/// Share of the bound that may wait before a prompt that is large for it.
const LARGE_QUEUE_SHARE: f64 = 0.25;

impl Placer {
    /// Returns what keeps an engine from taking a request. `queue_ms` is what the prompts before it
    /// take, `wait_ms` the foretold time to its first event.
    pub(crate) fn obstacle(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        server: &Server,
        load: Load,
        queue_ms: f64,
        wait_ms: f64,
    ) -> Option<Obstacle> {
        let (time_share, slot_share) = match request.admission_class {
            AdmissionClass::Modest => (self.tuning.admit_share, self.tuning.slot_share),
            AdmissionClass::WithinShare { unused } => {
                let part = self.tuning.limited_share + (1.0 - self.tuning.limited_share) * unused;
                (
                    self.tuning.admit_share * part,
                    self.tuning.slot_share * part,
                )
            }
            AdmissionClass::Late => (self.tuning.spare_share, self.tuning.spare_slot_share),
            AdmissionClass::BeyondShare { excess } => (
                self.tuning.spare_share / excess,
                self.tuning.spare_slot_share / excess,
            ),
        };
        let bound_ms = millis(request.objective) * time_share;
        let queue_bound_ms = millis(request.min_objective) * self.tuning.queue_share;
        let leaves_room = request.objective <= request.min_objective || wait_ms <= queue_bound_ms;
        let has_little_waiting = queue_ms <= queue_bound_ms * LARGE_QUEUE_SHARE;
        // A prompt that takes longer than the bounds by its size alone goes where little waits.
        let is_large = wait_ms - queue_ms > bound_ms;
        let is_on_time = if is_large {
            has_little_waiting
        } else {
            wait_ms <= bound_ms && (leaves_room || has_little_waiting)
        };
        let has_slot = (load.running as f64) < f64::from(server.slots) * slot_share
            && self.has_connection(request, server);
        let memory_bound = request.memory_tokens as f64 * self.tuning.memory_share;
        let has_memory = request.memory_tokens == 0
            || (load.memory_tokens + prompt.memory_tokens()) as f64 <= memory_bound
            || load.running == 0;
        match (has_slot, has_memory, is_on_time) {
            (false, _, _) => Some(Obstacle::Slots),
            (_, false, _) => Some(Obstacle::Memory),
            (_, _, false) => Some(Obstacle::Late),
            (true, true, true) => None,
        }
    }

    /// Tells whether the router may use another connection to the server.
    pub(crate) fn has_connection(&self, request: &PlacementRequest, server: &Server) -> bool {
        let limits = self.connection_limits(server, request.max_connections);
        let own_running = self
            .states
            .get(&server.key)
            .map_or(0, |state| state.load.running);
        own_running < limits.max_busy as u64
    }
}
