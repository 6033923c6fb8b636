//! Structured logs: JSON lines on standard error.

use logforth::{append, filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// Sends every log record to standard error as one line of JSON.
///
/// `RUST_LOG` overrides the default level, `info`.
pub fn start_logs() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilterBuilder::from_default_env_or("info").build())
                .append(append::Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}
