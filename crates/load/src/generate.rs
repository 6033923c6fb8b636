//! Generates traces in the manner of the two users' recordings.

use {
    crate::{Event, EventKind},
    baobab_standin::site::{Site, SiteWorkspace},
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, Exp, LogNormal},
    std::{str::FromStr, time::Duration},
};

const ROUTERS: usize = 6;
/// Prompt starts that the callers of one workspace share.
const PREFIXES: u32 = 4;
/// Part of the non-idempotent calls that the caller sends again under the same key.
const REPEATED_CALLS: f64 = 0.15;
/// Time after which such a call is sent again.
const REPEAT_DELAY_MS: u64 = 700;

/// A flood within a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// None.
    None,
    /// The first light workspace floods with the least urgent class.
    Least,
    /// The first light workspace floods with the most urgent class.
    Most,
}

impl FromStr for Flood {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "least" => Ok(Self::Least),
            "most" => Ok(Self::Most),
            _ => Err("write none, least or most".into()),
        }
    }
}

/// What kind of trace to generate.
#[derive(Debug, Clone)]
pub struct GenerateOptions {
    /// Seed.
    pub seed: u64,
    /// Length.
    pub length: Duration,
    /// Tokens a second that the site's engines generate, roughly.
    pub capacity_tokens_per_s: f64,
    /// Demand of long work as a part of the capacity.
    pub long_demand: f64,
    /// Flood.
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

/// A steady source of requests of one class from one workspace.
struct Source<'a> {
    workspace: &'a SiteWorkspace,
    class: &'a str,
    rate_per_s: f64,
    median_tokens: f64,
    spread: f64,
    most_tokens: f64,
}

struct Generator<'a> {
    site: &'a Site,
    options: &'a GenerateOptions,
    random: ChaCha8Rng,
    events: Vec<Event>,
}

/// Generates a trace.
#[must_use]
pub fn generate(site: &Site, options: &GenerateOptions) -> Vec<Event> {
    let mut generator = Generator {
        site,
        options,
        random: ChaCha8Rng::seed_from_u64(options.seed),
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
        let large = &self.site.workspaces[..self.site.large];
        let weights: u32 = large.iter().map(|workspace| workspace.weight).sum();
        for workspace in large {
            let share = f64::from(workspace.weight) / f64::from(weights);
            // Small shares ask for relatively more, so that all stay backlogged.
            let demand = self.options.capacity_tokens_per_s * self.options.long_demand * share;
            let source = Source {
                workspace,
                class: long,
                rate_per_s: (demand + 150.0) / 120.0,
                median_tokens: 100.0,
                spread: 0.55,
                most_tokens: 350.0,
            };
            self.add_source(&source);
        }
        for workspace in self.site.workspaces {
            self.add_source(&Source {
                workspace,
                class: urgent,
                rate_per_s: 0.7,
                median_tokens: 22.0,
                spread: 0.4,
                most_tokens: 60.0,
            });
            self.add_source(&Source {
                workspace,
                class: short,
                rate_per_s: 0.4,
                median_tokens: 10.0,
                spread: 0.3,
                most_tokens: 30.0,
            });
        }
    }

    fn add_flood(&mut self) {
        let [urgent, _, long] = self.site.classes;
        let (class, median_tokens) = match self.options.flood {
            Flood::Most => (urgent, 22.0),
            Flood::Least | Flood::None => (long, 100.0),
        };
        let workspace = &self.site.workspaces[self.site.large];
        let tokens_per_s = self.options.capacity_tokens_per_s * 10.0;
        self.add_source(&Source {
            workspace,
            class,
            rate_per_s: tokens_per_s / median_tokens,
            median_tokens,
            spread: 0.3,
            most_tokens: 300.0,
        });
    }

    fn add_source(&mut self, source: &Source<'_>) {
        let spacing = Exp::new(source.rate_per_s).expect("the rate is positive");
        let length = LogNormal::new(source.median_tokens.ln(), source.spread)
            .expect("the spread is positive");
        let mut at_s = spacing.sample(&mut self.random);
        while at_s < self.options.length.as_secs_f64() {
            let tokens = length
                .sample(&mut self.random)
                .clamp(2.0, source.most_tokens);
            let kind = EventKind::Chat {
                class: source.class.to_owned(),
                prefix: self.random.random_range(0..PREFIXES),
                tokens: whole(tokens),
                streamed: source.class != self.site.classes[1] || self.random.random_bool(0.5),
            };
            self.add(source.workspace, at_s, kind);
            at_s += spacing.sample(&mut self.random);
        }
    }

    fn add_calls(&mut self) {
        let spacing = Exp::new(4.0).expect("the rate is positive");
        let mut at_s = spacing.sample(&mut self.random);
        let mut key = 0;
        while at_s < self.options.length.as_secs_f64() {
            let workspace = self.site.workspaces.choose(&mut self.random);
            let Some(workspace) = workspace else {
                return;
            };
            if self.random.random_bool(0.4) {
                self.add(workspace, at_s, call("GET", self.site.lookup, None));
            } else {
                key += 1;
                self.add_once(workspace, at_s, key);
            }
            at_s += spacing.sample(&mut self.random);
        }
    }

    fn add_once(&mut self, workspace: &'a SiteWorkspace, at_s: f64, key: u64) {
        let path = self.site.non_idempotent[usize::try_from(key % 2).unwrap_or(0)];
        let kind = call("POST", path, Some(format!("k{}-{key}", self.options.seed)));
        self.add(workspace, at_s, kind.clone());
        if self.random.random_bool(REPEATED_CALLS) {
            self.add(workspace, at_s + REPEAT_DELAY_MS as f64 / 1000.0, kind);
        }
    }

    fn add(&mut self, workspace: &SiteWorkspace, at_s: f64, kind: EventKind) {
        let router = match workspace.routers.choose(&mut self.random) {
            Some(router) => *router,
            None => self.random.random_range(0..ROUTERS),
        };
        self.events.push(Event {
            at_ms: whole(at_s * 1000.0),
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

fn whole(value: f64) -> u64 {
    // A float's cast to an integer saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = value.max(0.0) as u64;
    whole
}
