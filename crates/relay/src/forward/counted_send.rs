//! Counts the sends of requests to servers.

use {super::job::Job, crate::core::Core};

/// Counts a request that is sent, also if that is cancelled.
pub struct CountedSend<'a> {
    core: &'a Core,
    job: &'a Job,
    is_repeat: bool,
    is_sent: bool,
}

impl<'a> CountedSend<'a> {
    /// Counts a request that is about to be sent.
    pub fn begin(core: &'a Core, job: &'a Job) -> Self {
        let is_repeat = job.was_sent();
        job.sends.set(job.sends.get() + 1);
        Self {
            core,
            job,
            is_repeat,
            is_sent: true,
        }
    }

    /// Takes the count back: nothing was sent.
    pub fn take_back(mut self) {
        self.is_sent = false;
        self.job.sends.set(self.job.sends.get() - 1);
    }
}

impl Drop for CountedSend<'_> {
    fn drop(&mut self) {
        if self.is_sent {
            let order = if self.is_repeat { "repeat" } else { "first" };
            self.core
                .metrics
                .sends
                .with_label_values(&[self.job.service.as_str(), order])
                .inc();
        }
    }
}
