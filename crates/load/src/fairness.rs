//! Fairness gap and received shares, computed from samples of what callers received.

use std::{collections::BTreeMap, time::Duration};

/// Minimum backlogged time for a workspace's received share to count.
const MIN_BACKLOG_TIME: Duration = Duration::from_secs(5);

/// A workspace at one sampling time.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkspaceSample {
    /// Tokens received since the start.
    pub tokens: u64,
    /// Whether a request has waited beyond the backlog threshold for its first token.
    pub is_backlogged: bool,
    /// Streamed requests that wait for their first token.
    pub waiting: u64,
}

/// All workspaces at one sampling time.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Time since the start of the replay.
    pub at: Duration,
    /// Samples by workspace name.
    pub workspaces: BTreeMap<String, WorkspaceSample>,
}

/// Largest gap between two continuously backlogged workspaces.
#[derive(Debug, Clone, Default)]
pub struct FairnessGap {
    /// Difference in tokens per share, divided by the fleet's token rate, in seconds.
    pub gap_s: f64,
    /// Time of the largest gap since the start of the replay, in seconds.
    pub at_s: f64,
    /// Workspace that was ahead.
    pub ahead: String,
    /// Workspace that was behind.
    pub behind: String,
    /// Tokens per second while any workspace was backlogged.
    pub fleet_rate: f64,
    /// Mean total weight of the backlogged workspaces, while at least two were.
    pub backlogged_weight: f64,
}

/// Returns the largest gap of any pair, counted from when both workspaces became backlogged.
#[must_use]
pub fn largest_gap(samples: &[Sample], weights: &BTreeMap<String, f64>) -> FairnessGap {
    let mut largest = FairnessGap {
        fleet_rate: fleet_rate(samples),
        backlogged_weight: backlogged_weight(samples, weights),
        ..FairnessGap::default()
    };
    if largest.fleet_rate <= 0.0 {
        return largest;
    }
    let names: Vec<&String> = weights.keys().collect();
    for (index, one) in names.iter().enumerate() {
        for other in &names[index + 1..] {
            scan_pair(samples, weights, one, other, &mut largest);
        }
    }
    largest
}

fn scan_pair(
    samples: &[Sample],
    weights: &BTreeMap<String, f64>,
    one: &str,
    other: &str,
    largest: &mut FairnessGap,
) {
    let mut baseline: Option<(f64, f64)> = None;
    for sample in samples {
        let pair = (sample.workspaces.get(one), sample.workspaces.get(other));
        let (Some(first), Some(second)) = pair else {
            baseline = None;
            continue;
        };
        if !first.is_backlogged || !second.is_backlogged {
            baseline = None;
            continue;
        }
        let tokens_per_weight =
            |state: &WorkspaceSample, name: &str| state.tokens as f64 / weights[name];
        let now = (
            tokens_per_weight(first, one),
            tokens_per_weight(second, other),
        );
        let (first_base, second_base) = *baseline.get_or_insert(now);
        let lead = (now.0 - first_base) - (now.1 - second_base);
        let gap_s = lead.abs() * largest.backlogged_weight / largest.fleet_rate;
        if gap_s > largest.gap_s {
            let (ahead, behind) = if lead > 0.0 {
                (one, other)
            } else {
                (other, one)
            };
            largest.gap_s = gap_s;
            largest.at_s = sample.at.as_secs_f64();
            ahead.clone_into(&mut largest.ahead);
            behind.clone_into(&mut largest.behind);
        }
    }
}

fn fleet_rate(samples: &[Sample]) -> f64 {
    let mut tokens = 0;
    let mut time = Duration::ZERO;
    for pair in samples.windows(2) {
        let backlogged = pair[0].workspaces.values().any(|state| state.is_backlogged);
        if backlogged {
            tokens += total_tokens(&pair[1]) - total_tokens(&pair[0]);
            time += pair[1].at.saturating_sub(pair[0].at);
        }
    }
    if time.is_zero() {
        return 0.0;
    }
    tokens as f64 / time.as_secs_f64()
}

fn backlogged_weight(samples: &[Sample], weights: &BTreeMap<String, f64>) -> f64 {
    let sums: Vec<f64> = samples
        .iter()
        .filter_map(|sample| {
            let backlogged: Vec<f64> = sample
                .workspaces
                .iter()
                .filter(|(_, state)| state.is_backlogged)
                .filter_map(|(name, _)| weights.get(name).copied())
                .collect();
            (backlogged.len() >= 2).then(|| backlogged.iter().sum())
        })
        .collect();
    if sums.is_empty() {
        return 0.0;
    }
    sums.iter().sum::<f64>() / sums.len() as f64
}

fn total_tokens(sample: &Sample) -> u64 {
    sample.workspaces.values().map(|state| state.tokens).sum()
}

/// Fraction of its fair share that a workspace received.
#[derive(Debug, Clone)]
pub struct ReceivedShare {
    /// Name of the workspace.
    pub workspace: String,
    /// Tokens received divided by tokens due.
    pub fraction: f64,
}

/// Returns the workspace that received the lowest fraction of its fair share while backlogged. The
/// fair share is the part by weight of all tokens that the backlogged workspaces received.
#[must_use]
pub fn min_received_share(
    samples: &[Sample],
    weights: &BTreeMap<String, f64>,
) -> Option<ReceivedShare> {
    let mut sums: BTreeMap<&str, (f64, f64, Duration)> = BTreeMap::new();
    for pair in samples.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        let backlogged: Vec<(&String, u64)> = after
            .workspaces
            .iter()
            .filter(|(_, state)| state.is_backlogged)
            .filter_map(|(name, state)| {
                let earlier = before.workspaces.get(name)?;
                earlier
                    .is_backlogged
                    .then(|| (name, state.tokens - earlier.tokens))
            })
            .collect();
        let tokens: u64 = backlogged.iter().map(|(_, tokens)| tokens).sum();
        let weight: f64 = backlogged.iter().map(|(name, _)| weights[*name]).sum();
        for (name, received) in backlogged {
            let sum = sums.entry(name).or_default();
            sum.0 += received as f64;
            sum.1 += tokens as f64 * weights[name] / weight;
            sum.2 += after.at.saturating_sub(before.at);
        }
    }
    sums.into_iter()
        .filter(|(_, (_, due, time))| *due > 0.0 && *time >= MIN_BACKLOG_TIME)
        .map(|(workspace, (received, due, _))| ReceivedShare {
            workspace: workspace.to_owned(),
            fraction: received / due,
        })
        .min_by(|one, other| one.fraction.total_cmp(&other.fraction))
}
