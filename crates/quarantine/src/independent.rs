//! How many crashes have a request of their own.

use {crate::RequestKey, std::collections::BTreeMap};

/// Returns the largest number of crashes that can be assigned a different request each, of those that broke off
/// in them. A request that is repeated until it has crashed several servers counts once, whichever other
/// requests waited at these servers.
pub(crate) fn count_independent(requests_by_crash: &[Vec<RequestKey>]) -> usize {
    let mut assigned = BTreeMap::new();
    (0..requests_by_crash.len())
        .filter(|&crash| {
            let mut visited = Vec::new();
            assign(crash, requests_by_crash, &mut visited, &mut assigned)
        })
        .count()
}

/// Assigns a request to a crash, if need be by assigning others to earlier crashes. Returns whether there is
/// one.
fn assign(
    crash: usize,
    requests_by_crash: &[Vec<RequestKey>],
    visited: &mut Vec<RequestKey>,
    assigned: &mut BTreeMap<RequestKey, usize>,
) -> bool {
    for &request in &requests_by_crash[crash] {
        if visited.contains(&request) {
            continue;
        }
        visited.push(request);
        let is_free = match assigned.get(&request).copied() {
            None => true,
            Some(holder) => assign(holder, requests_by_crash, visited, assigned),
        };
        if is_free {
            assigned.insert(request, crash);
            return true;
        }
    }
    false
}
