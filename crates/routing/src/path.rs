//! Route lookup by host and path.

use crate::{Configuration, Route};

/// Returns the host's route with the longest matching path prefix.
#[must_use]
pub fn find_route<'a>(
    configuration: &'a Configuration,
    host: &str,
    path: &str,
) -> Option<&'a Route> {
    configuration
        .routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host))
        .filter(|route| path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
}
