//! Replays a trace in real time, with bounded threads, and samples as it goes.

use {
    crate::{
        Event, LoadError, Report, Sample, WorkspaceSample,
        caller::Caller,
        probe::{self, RouterFigures, SlotFigures},
        recorder::Recorder,
        report::Observed,
    },
    baobab_standin::site::{Layout, Site},
    indicatif::{ProgressBar, ProgressStyle},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Routers that traces are generated for.
const TRACE_ROUTERS: usize = 6;
const ENGINES: usize = 18;
const SERVICES: usize = 3;
const STACK_BYTES: usize = 192 * 1024;
const SAMPLE_SPACING: Duration = Duration::from_millis(100);
/// Samples between two readings of the engines' slots.
const SLOT_SAMPLES: u32 = 5;
/// Samples between two looks at the routers' processes.
const PROCESS_SAMPLES: u32 = 20;
/// Time that a request waits before its workspace counts as backlogged.
const BACKLOG_AFTER: Duration = Duration::from_millis(300);
const READY_PATIENCE: Duration = Duration::from_secs(20);

/// How a trace is replayed.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Routers of the site.
    pub routers: usize,
    /// Factor by which the waits between arrivals are shortened.
    pub speed: f64,
    /// Requests that may be open at the same time; more are left out and counted.
    pub most_open: u64,
    /// Time after the last arrival after which open requests are abandoned.
    pub patience: Duration,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        Self {
            routers: TRACE_ROUTERS,
            speed: 1.0,
            most_open: 3000,
            patience: Duration::from_mins(1),
        }
    }
}

/// The addresses that a replay needs.
struct Addresses {
    callers: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

/// The slots between two readings, and whether requests waited all the time.
#[derive(Debug, Clone, Copy)]
pub struct SlotWindow {
    /// Time of its end since the start.
    pub at: Duration,
    /// Requests that waited at its end.
    pub waiting: u64,
    /// At its start.
    pub before: SlotFigures,
    /// At its end.
    pub after: SlotFigures,
    /// Its length.
    pub length: Duration,
    /// Whether requests waited at every sample.
    pub is_saturated: bool,
}

/// Replays a trace against a site's routers.
///
/// # Errors
///
/// Fails where no router becomes ready.
pub fn replay(site: Site, events: &[Event], options: &ReplayOptions) -> Result<Report, LoadError> {
    let layout = Layout::with_routers(site, options.routers);
    let addresses = Addresses {
        callers: (0..options.routers)
            .map(|index| layout.callers(index))
            .collect(),
        admins: (0..options.routers)
            .map(|index| layout.admin(index))
            .collect(),
        engines: (0..ENGINES).map(|index| layout.engine(index)).collect(),
        services: (0..SERVICES).map(|index| layout.service(index)).collect(),
    };
    wait_until_ready(&addresses.callers)?;
    let recorder: Arc<Recorder> = Arc::default();
    let before = read_routers(&addresses.admins);
    let sampler = Sampler::spawn(
        Arc::clone(&recorder),
        addresses.engines.clone(),
        addresses.admins.clone(),
    );
    let started = Instant::now();
    let left_out = send_all(&layout, events, options, &recorder, &addresses.callers);
    let abandoned = wait_for_end(&recorder, options.patience);
    let length = started.elapsed();
    let taken = sampler.stop();
    let observed = Observed {
        site,
        length,
        samples: taken.samples,
        windows: taken.windows,
        router_peaks: taken.router_peaks,
        routers_before: before,
        routers_after: read_routers(&addresses.admins),
        ran_requests: probe::ran_requests(&addresses.engines),
        executions: probe::executions(&addresses.services),
        collected: recorder.collected(),
        left_out,
        abandoned,
    };
    Ok(Report::of(&observed))
}

fn wait_until_ready(routers: &[SocketAddr]) -> Result<(), LoadError> {
    let deadline = Instant::now() + READY_PATIENCE;
    loop {
        let waiting: Vec<String> = routers
            .iter()
            .filter(|router| !probe::is_ready(**router))
            .map(ToString::to_string)
            .collect();
        if waiting.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(LoadError::NotReady(waiting.join(", ")));
        }
        thread::sleep(SAMPLE_SPACING);
    }
}

fn read_routers(admins: &[SocketAddr]) -> Vec<RouterFigures> {
    admins
        .iter()
        .map(|admin| probe::router_figures(*admin))
        .collect()
}

fn send_all(
    layout: &Layout,
    events: &[Event],
    options: &ReplayOptions,
    recorder: &Arc<Recorder>,
    routers: &[SocketAddr],
) -> u64 {
    let progress = progress_bar(events.len());
    let started = Instant::now();
    let flooding = flooding_workspace(events);
    let mut left_out = 0;
    for event in events {
        let due = Duration::from_millis(event.at_ms).div_f64(options.speed);
        thread::sleep(due.saturating_sub(started.elapsed()));
        progress.inc(1);
        if recorder.read(|collected| collected.open) >= options.most_open {
            left_out += 1;
            continue;
        }
        let is_flood = flooding == Some(event.workspace.as_str());
        start_caller(layout.site, event, is_flood, recorder, routers);
    }
    progress.finish_and_clear();
    left_out
}

/// Returns the workspace that sends more than half of all requests.
fn flooding_workspace(events: &[Event]) -> Option<&str> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for event in events {
        *counts.entry(&event.workspace).or_default() += 1;
    }
    counts
        .into_iter()
        .find(|(_, count)| count * 2 > events.len())
        .map(|(workspace, _)| workspace)
}

fn start_caller(
    site: Site,
    event: &Event,
    is_flood: bool,
    recorder: &Arc<Recorder>,
    routers: &[SocketAddr],
) {
    let event = event.clone();
    let recorder = Arc::clone(recorder);
    let mut routers = routers.to_vec();
    // With more routers than the trace knows, each of its routers stands for several.
    let each = (routers.len() / TRACE_ROUTERS).max(1);
    let turn = usize::try_from(event.number).unwrap_or(0) % each;
    let chosen = (event.router * each + turn) % routers.len();
    routers.rotate_left(chosen);
    let spawned = thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || {
            let caller = Caller {
                site: &site,
                event: &event,
                is_flood,
                routers: &routers,
                recorder: &recorder,
            };
            caller.run();
        });
    if let Err(error) = spawned {
        eprintln!("no thread for a caller: {error}");
    }
}

fn wait_for_end(recorder: &Recorder, patience: Duration) -> u64 {
    let deadline = Instant::now() + patience;
    loop {
        let open = recorder.read(|collected| collected.open);
        if open == 0 || Instant::now() >= deadline {
            return open;
        }
        thread::sleep(SAMPLE_SPACING);
    }
}

fn progress_bar(events: usize) -> ProgressBar {
    // Hidden by itself where standard error is not a terminal.
    let bar = ProgressBar::new(baobab_unit::to_u64(events));
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {eta} left");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

/// Samples until stopped.
struct Sampler {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Sampled>,
}

/// What a sampler has taken.
#[derive(Debug, Default)]
struct Sampled {
    samples: Vec<Sample>,
    windows: Vec<SlotWindow>,
    router_peaks: Vec<RouterFigures>,
}

impl Sampler {
    fn spawn(recorder: Arc<Recorder>, engines: Vec<SocketAddr>, admins: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let thread = thread::spawn(move || sample(&recorder, &engines, &admins, &flag));
        Self { stop, thread }
    }

    fn stop(self) -> Sampled {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl Sampled {
    fn add_peaks(&mut self, figures: &[RouterFigures]) {
        self.router_peaks
            .resize(figures.len(), RouterFigures::default());
        for (peak, figures) in self.router_peaks.iter_mut().zip(figures) {
            peak.streams = peak.streams.max(figures.streams);
            peak.memory_bytes = peak.memory_bytes.max(figures.memory_bytes);
            peak.threads = peak.threads.max(figures.threads);
        }
    }
}

fn sample(
    recorder: &Recorder,
    engines: &[SocketAddr],
    admins: &[SocketAddr],
    stop: &AtomicBool,
) -> Sampled {
    let started = Instant::now();
    let mut sampled = Sampled::default();
    let mut before = probe::slot_figures(engines);
    let mut window_start = started.elapsed();
    let mut is_saturated = true;
    for round in 1_u32.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        thread::sleep((SAMPLE_SPACING * round).saturating_sub(started.elapsed()));
        let sample = take_sample(recorder, started.elapsed());
        is_saturated &= sample.workspaces.values().any(|state| state.is_backlogged);
        let waiting = sample.workspaces.values().map(|state| state.waiting).sum();
        sampled.samples.push(sample);
        if round % PROCESS_SAMPLES == 0 {
            sampled.add_peaks(&read_routers(admins));
        }
        if round % SLOT_SAMPLES == 0 {
            let after = probe::slot_figures(engines);
            let now = started.elapsed();
            sampled.windows.push(SlotWindow {
                at: now,
                waiting,
                before,
                after,
                length: now.saturating_sub(window_start),
                is_saturated,
            });
            before = after;
            window_start = now;
            is_saturated = true;
        }
    }
    sampled
}

fn take_sample(recorder: &Recorder, at: Duration) -> Sample {
    let now = Instant::now();
    let workspaces = recorder.read(|collected| {
        collected
            .workspaces
            .iter()
            .map(|(name, state)| {
                let is_backlogged = state
                    .waiting
                    .values()
                    .any(|sent| now.duration_since(*sent) >= BACKLOG_AFTER);
                let sample = WorkspaceSample {
                    tokens: state.tokens,
                    is_backlogged,
                    waiting: baobab_unit::to_u64(state.waiting.len()),
                };
                (name.clone(), sample)
            })
            .collect()
    });
    Sample { at, workspaces }
}
