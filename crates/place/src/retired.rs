//! Runs of backend servers that have left or are leaving.

use {
    crate::{Server, ServerKey},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a run is remembered. A run that leaves ends within a minute.
const RETENTION: Duration = Duration::from_mins(10);

/// Source of the information that a run leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// Its announcement, or the end of it.
    Announcement,
    /// One of its own responses.
    Response,
}

#[derive(Debug)]
struct Run {
    started_unix_ms: Option<u64>,
    source: Source,
    retired_at: Duration,
}

/// The last retired run of each server.
#[derive(Debug, Default)]
pub(crate) struct RetiredRuns(HashMap<ServerKey, Run>);

impl RetiredRuns {
    /// Records that the server's present run leaves. A response outweighs an announcement, which
    /// may be outdated.
    pub(crate) fn insert(&mut self, server: &Server, source: Source, now: Duration) {
        let is_known_from_response = self.source(server) == Some(Source::Response);
        let source = if is_known_from_response {
            Source::Response
        } else {
            source
        };
        let run = Run {
            started_unix_ms: server.started_unix_ms,
            source,
            retired_at: now,
        };
        self.0.insert(server.key, run);
    }

    /// Returns from where it is known that the server's present run leaves, if it is.
    pub(crate) fn source(&self, server: &Server) -> Option<Source> {
        self.0
            .get(&server.key)
            .filter(|run| run.started_unix_ms == server.started_unix_ms)
            .map(|run| run.source)
    }

    /// Forgets runs that were retired long ago.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.0
            .retain(|_, run| now.saturating_sub(run.retired_at) <= RETENTION);
    }
}
