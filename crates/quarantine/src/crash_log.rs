//! Recent crashes of all servers.

use {
    crate::{
        ServerKey,
        span::{ServerCrash, Span, count_spaced},
    },
    std::time::Duration,
};

/// Maximum number of crashes kept.
const MAX_CRASHES: usize = 256;

/// Crashes of all servers, whichever requests they broke, the oldest first.
#[derive(Debug, Default)]
pub(crate) struct CrashLog(Vec<ServerCrash>);

impl CrashLog {
    /// Records an observation of a crash.
    pub(crate) fn insert(&mut self, server: ServerKey, at: Duration) {
        let observed = ServerCrash {
            span: Span::at(at),
            server,
        };
        let crash = self
            .0
            .extract_if(.., |known| known.is_same(observed))
            .fold(observed, ServerCrash::union);
        let index = self.0.partition_point(|known| *known < crash);
        self.0.insert(index, crash);
        if self.0.len() > MAX_CRASHES {
            self.0.remove(0);
        }
    }

    /// Returns the number of spaced crashes that were observed at `first` or later.
    pub(crate) fn count_since(&self, first: Duration) -> usize {
        let times = self
            .0
            .iter()
            .filter(|crash| crash.span.last >= first)
            .map(|crash| crash.span.first);
        count_spaced(times)
    }

    /// Forgets crashes last observed before `oldest`.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.0.retain(|crash| crash.span.last >= oldest);
    }
}
