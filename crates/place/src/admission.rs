//! Admission control: checks an engine's slots, memory and predicted time to first event.

use crate::{
    AdmissionClass, Load, PlacementRequest, Placer, Prompt, Server, candidate::Rejection,
    convert::millis,
};

/// Fraction of the queue bound that may be queued before a large prompt, if it gets spare capacity
/// only, or its workspace has had its share.
const LARGE_PROMPT_QUEUE_FRACTION: f64 = 0.25;
/// The same if the workspace has had nothing of its share. Short prompts keep queues longer than the
/// fraction above, so that a workspace with large prompts would find no engine.
const OWED_PROMPT_QUEUE_FRACTION: f64 = 0.75;

impl Placer {
    /// Returns the reason that an engine cannot take a request, if any. `queue_ms` is the prefill
    /// time of the prompts queued before it, `predicted_ms` the predicted time to first event.
    pub(crate) fn rejection(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        server: &Server,
        load: Load,
        queue_ms: f64,
        predicted_ms: f64,
    ) -> Option<Rejection> {
        let running_bound = self.tuning.running_bound.for_slots(server.slots);
        let spare_running_bound = self.tuning.spare_running_bound.for_slots(server.slots);
        let (objective_fraction, max_running) = match request.admission_class {
            AdmissionClass::Modest => (self.tuning.objective_fraction, running_bound),
            AdmissionClass::WithinShare { unused } => {
                let scale =
                    self.tuning.limited_factor + (1.0 - self.tuning.limited_factor) * unused;
                (
                    self.tuning.objective_fraction * scale,
                    running_bound * scale,
                )
            }
            AdmissionClass::Late => (self.tuning.spare_objective_fraction, spare_running_bound),
            AdmissionClass::BeyondShare { excess } => (
                self.tuning.spare_objective_fraction / excess,
                spare_running_bound / excess,
            ),
        };
        let bound_ms = millis(request.objective) * objective_fraction;
        let queue_bound_ms = millis(request.min_objective) * self.tuning.queue_fraction;
        let fits_queue_bound =
            request.objective <= request.min_objective || predicted_ms <= queue_bound_ms;
        let owed = match request.admission_class {
            AdmissionClass::Modest => 1.0,
            AdmissionClass::WithinShare { unused } => unused,
            AdmissionClass::Late | AdmissionClass::BeyondShare { .. } => 0.0,
        };
        let short_queue_fraction = LARGE_PROMPT_QUEUE_FRACTION
            + (OWED_PROMPT_QUEUE_FRACTION - LARGE_PROMPT_QUEUE_FRACTION) * owed;
        let is_queue_short = queue_ms <= queue_bound_ms * short_queue_fraction;
        // A prompt whose own prefill exceeds the bound is admitted only where the queue is short.
        let is_large = predicted_ms - queue_ms > bound_ms;
        let is_on_time = if is_large {
            is_queue_short
        } else {
            predicted_ms <= bound_ms && (fits_queue_bound || is_queue_short)
        };
        let has_slot = (load.running as f64) < max_running && self.has_connection(request, server);
        let memory_bound = request.memory_tokens as f64 * self.tuning.memory_fraction;
        let has_memory = request.memory_tokens == 0
            || (load.memory_tokens + prompt.memory_tokens()) as f64 <= memory_bound
            || load.running == 0;
        match (has_slot, has_memory, is_on_time) {
            (false, _, _) => Some(Rejection::Slots),
            (_, false, _) => Some(Rejection::Memory),
            (_, _, false) => Some(Rejection::Late),
            (true, true, true) => None,
        }
    }

    /// Returns whether this router may use another connection to the server.
    pub(crate) fn has_connection(&self, request: &PlacementRequest, server: &Server) -> bool {
        let limits = self.connection_limits(server, request.max_connections);
        let own_running = self
            .states
            .get(&server.key)
            .map_or(0, |state| state.load.running);
        own_running < limits.max_busy as u64
    }
}
