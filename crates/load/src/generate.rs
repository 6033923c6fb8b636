//! Generates synthetic traces that resemble the recordings of the two sites.

use {
    crate::{Event, EventKind},
    baobab_standin::site::{Site, SiteWorkspace},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp, LogNormal},
    std::{str::FromStr, time::Duration},
};

const ROUTERS: usize = 6;
/// Distinct prompt prefixes that the callers of one workspace share.
const PREFIXES: u32 = 4;
/// Fraction of the non-idempotent calls that the caller retries under the same key.
const RETRIED_CALL_FRACTION: f64 = 0.15;
/// Delay between such a call and its retry.
const RETRY_DELAY_MS: u64 = 700;

/// Overload by one workspace within a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// No flood.
    None,
    /// The first small workspace floods with the least urgent class.
    LeastUrgent,
    /// The first small workspace floods with the most urgent class.
    MostUrgent,
}

impl FromStr for Flood {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "least" => Ok(Self::LeastUrgent),
            "most" => Ok(Self::MostUrgent),
            _ => Err("expected none, least or most".into()),
        }
    }
}

/// Parameters of a generated trace.
#[derive(Debug, Clone)]
pub struct GenerateOptions {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Time from the start of the trace within which requests arrive.
    pub length: Duration,
    /// Approximate token rate of the site's engines, per second.
    pub capacity_tokens_per_s: f64,
    /// Demand of the least urgent class as a fraction of the capacity.
    pub long_demand: f64,
    /// Flood to include.
    pub flood: Flood,
}

impl Default for GenerateOptions {
    fn default() -> Self {
        Self {
            seed: 7,
            length: Duration::from_secs(24),
            capacity_tokens_per_s: 4200.0,
            long_demand: 1.5,
            flood: Flood::None,
        }
    }
}

/// Poisson arrivals of one class from one workspace, with log-normal response lengths.
struct Source<'a> {
    workspace: &'a SiteWorkspace,
    class: &'a str,
    rate_per_s: f64,
    median_tokens: f64,
    sigma: f64,
    max_tokens: f64,
}

struct Generator<'a> {
    site: &'a Site,
    options: &'a GenerateOptions,
    rng: ChaCha8Rng,
    events: Vec<Event>,
}

/// Generates a trace, ordered by time; the same options give the same trace.
#[must_use]
pub fn generate(site: &Site, options: &GenerateOptions) -> Vec<Event> {
    let mut generator = Generator {
        site,
        options,
        rng: ChaCha8Rng::seed_from_u64(options.seed),
        events: Vec::new(),
    };
    generator.add_chats();
    generator.add_calls();
    if options.flood != Flood::None {
        generator.add_flood();
    }
    let mut events = generator.events;
    events.sort_by_key(|event| event.at_ms);
    for (number, event) in (0..).zip(&mut events) {
        event.number = number;
    }
    events
}

impl<'a> Generator<'a> {
    fn add_chats(&mut self) {
        let [urgent, short, long] = self.site.classes;
        let large = &self.site.workspaces[..self.site.large_workspaces];
        let weights: u32 = large.iter().map(|workspace| workspace.weight).sum();
        for workspace in large {
            let share = f64::from(workspace.weight) / f64::from(weights);
            // The constant extra demand keeps workspaces with small shares backlogged too.
            let demand = self.options.capacity_tokens_per_s * self.options.long_demand * share;
            let source = Source {
                workspace,
                class: long,
                rate_per_s: (demand + 150.0) / 120.0,
                median_tokens: 100.0,
                sigma: 0.55,
                max_tokens: 350.0,
            };
            self.add_source(&source);
        }
        for workspace in self.site.workspaces {
            self.add_source(&Source {
                workspace,
                class: urgent,
                rate_per_s: 0.7,
                median_tokens: 22.0,
                sigma: 0.4,
                max_tokens: 60.0,
            });
            self.add_source(&Source {
                workspace,
                class: short,
                rate_per_s: 0.4,
                median_tokens: 10.0,
                sigma: 0.3,
                max_tokens: 30.0,
            });
        }
    }

    fn add_flood(&mut self) {
        let [urgent, _, long] = self.site.classes;
        let (class, median_tokens) = match self.options.flood {
            Flood::MostUrgent => (urgent, 22.0),
            Flood::LeastUrgent | Flood::None => (long, 100.0),
        };
        let workspace = &self.site.workspaces[self.site.large_workspaces];
        let tokens_per_s = self.options.capacity_tokens_per_s * 10.0;
        self.add_source(&Source {
            workspace,
            class,
            rate_per_s: tokens_per_s / median_tokens,
            median_tokens,
            sigma: 0.3,
            max_tokens: 300.0,
        });
    }

    fn add_source(&mut self, source: &Source<'_>) {
        let interarrival = Exp::new(source.rate_per_s).expect("the rate is positive");
        let response_tokens =
            LogNormal::new(source.median_tokens.ln(), source.sigma).expect("sigma is positive");
        let mut at_s = interarrival.sample(&mut self.rng);
        while at_s < self.options.length.as_secs_f64() {
            let tokens = response_tokens
                .sample(&mut self.rng)
                .clamp(2.0, source.max_tokens);
            let kind = EventKind::Chat {
                class: source.class.to_owned(),
                prefix: self.rng.random_range(0..PREFIXES),
                tokens: truncate(tokens),
                streamed: source.class != self.site.classes[1] || self.rng.random_bool(0.5),
            };
            self.add(source.workspace, at_s, kind);
            at_s += interarrival.sample(&mut self.rng);
        }
    }

    fn add_calls(&mut self) {
        let interarrival = Exp::new(4.0).expect("the rate is positive");
        let mut at_s = interarrival.sample(&mut self.rng);
        let mut key = 0;
        while at_s < self.options.length.as_secs_f64() {
            let workspace = self.site.workspaces.choose(&mut self.rng);
            let Some(workspace) = workspace else {
                return;
            };
            if self.rng.random_bool(0.4) {
                self.add(workspace, at_s, call("GET", self.site.lookup_path, None));
            } else {
                key += 1;
                self.add_non_idempotent_call(workspace, at_s, key);
            }
            at_s += interarrival.sample(&mut self.rng);
        }
    }

    fn add_non_idempotent_call(&mut self, workspace: &'a SiteWorkspace, at_s: f64, key: u64) {
        let path = self.site.non_idempotent_paths[usize::try_from(key % 2).unwrap_or(0)];
        let kind = call("POST", path, Some(format!("k{}-{key}", self.options.seed)));
        self.add(workspace, at_s, kind.clone());
        if self.rng.random_bool(RETRIED_CALL_FRACTION) {
            self.add(workspace, at_s + RETRY_DELAY_MS as f64 / 1000.0, kind);
        }
    }

    fn add(&mut self, workspace: &SiteWorkspace, at_s: f64, kind: EventKind) {
        let router = match workspace.routers.choose(&mut self.rng) {
            Some(router) => *router,
            None => self.rng.random_range(0..ROUTERS),
        };
        self.events.push(Event {
            at_ms: truncate(at_s * 1000.0),
            workspace: workspace.name.to_owned(),
            router,
            number: 0,
            kind,
        });
    }
}

fn call(method: &str, path: &str, key: Option<String>) -> EventKind {
    EventKind::Call {
        method: method.to_owned(),
        path: path.to_owned(),
        key,
    }
}

fn truncate(value: f64) -> u64 {
    // Float-to-integer casts saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let truncated = value.max(0.0) as u64;
    truncated
}
