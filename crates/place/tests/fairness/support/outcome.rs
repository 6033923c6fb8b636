//! What the workspaces of a play asked for and got.

use std::collections::BTreeMap;

/// What one workspace asked for and got in one second, in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    pub asked: f64,
    pub begun: f64,
    pub refused: u32,
}

/// Result of a play: each workspace by second.
#[derive(Debug, Default)]
pub struct Outcome {
    pub seconds: BTreeMap<u32, Vec<Second>>,
    pub largest: BTreeMap<u32, [f64; 3]>,
}

impl Outcome {
    /// Returns the workspaces that wait in each of six seconds and get less than half of what they
    /// asked for or the best served one got, less three of their largest requests.
    pub fn unfair(&self) -> Vec<String> {
        let length = self.seconds.values().map(Vec::len).max().unwrap_or(0);
        let mut found = Vec::new();
        for from in 0..length.saturating_sub(5) {
            let window = |seconds: &Vec<Second>| -> Vec<Second> {
                (from..from + 6)
                    .map(|second| seconds.get(second).copied().unwrap_or_default())
                    .collect()
            };
            let best: f64 = self
                .seconds
                .values()
                .map(|seconds| window(seconds).iter().map(|s| s.begun).sum::<f64>())
                .fold(0.0, f64::max);
            let best_seconds = self
                .seconds
                .values()
                .map(window)
                .max_by(|left, right| {
                    let sum = |w: &Vec<Second>| w.iter().map(|s| s.begun).sum::<f64>();
                    sum(left).total_cmp(&sum(right))
                })
                .unwrap_or_default();
            for (workspace, seconds) in &self.seconds {
                let own = window(seconds);
                let owed: f64 = own
                    .iter()
                    .zip(&best_seconds)
                    .map(|(own, best)| own.asked.min(best.begun))
                    .sum();
                let got: f64 = own.iter().map(|second| second.begun).sum();
                let slack: f64 = self.largest[workspace].iter().sum();
                if own.iter().all(|second| second.refused > 0) && got < (owed - slack) / 2.0 {
                    found.push(format!(
                        "workspace {workspace} from {from} s: {:.2} M of {:.2} M, best {:.2} M",
                        got / 1e6,
                        owed / 1e6,
                        best / 1e6
                    ));
                }
            }
        }
        found
    }

    /// Returns the tokens that a workspace asked for and got from a second on.
    pub fn totals(&self, workspace: u32, from: usize) -> (f64, f64) {
        self.seconds[&workspace]
            .iter()
            .skip(from)
            .fold((0.0, 0.0), |(asked, begun), second| {
                (asked + second.asked, begun + second.begun)
            })
    }

    /// Returns the tokens a second that all engines began, from a second on.
    pub fn throughput(&self, from: usize) -> f64 {
        let length = self.seconds.values().map(Vec::len).max().unwrap_or(0);
        let begun: f64 = self
            .seconds
            .keys()
            .map(|workspace| self.totals(*workspace, from).1)
            .sum();
        begun / (length - from) as f64
    }
}
