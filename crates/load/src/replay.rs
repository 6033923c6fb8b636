//! Replays a trace in real time, one thread per request in flight, and samples meanwhile.

use {
    crate::{
        Event, LoadError, Report, Sample, WorkspaceSample,
        caller::Caller,
        probe::{self, RouterCounters, SlotCounters},
        recorder::Recorder,
        report::Observations,
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

/// Number of routers that traces are generated for.
const TRACE_ROUTERS: usize = 6;
const ENGINES: usize = 18;
const SERVICES: usize = 3;
const STACK_BYTES: usize = 192 * 1024;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Samples per reading of the engines' slots.
const SAMPLES_PER_SLOT_READING: u32 = 5;
/// Samples per reading of the routers' processes.
const SAMPLES_PER_PROCESS_READING: u32 = 20;
/// Time that a request waits for its first token before its workspace counts as backlogged.
const BACKLOG_THRESHOLD: Duration = Duration::from_millis(300);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of a replay.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Number of routers of the site.
    pub routers: usize,
    /// Factor by which the gaps between arrivals are shortened.
    pub speed: f64,
    /// Maximum requests in flight; further ones are skipped and counted.
    pub max_in_flight: u64,
    /// Time after the last arrival at which requests in flight are abandoned.
    pub drain_timeout: Duration,
}

impl Default for ReplayOptions {
    fn default() -> Self {
        Self {
            routers: TRACE_ROUTERS,
            speed: 1.0,
            max_in_flight: 3000,
            drain_timeout: Duration::from_mins(1),
        }
    }
}

/// Addresses of the site's processes, by index.
struct Addresses {
    callers: Vec<SocketAddr>,
    admins: Vec<SocketAddr>,
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
}

/// Slot use between two readings.
#[derive(Debug, Clone, Copy)]
pub struct SlotWindow {
    /// End of the window, since the start of the replay.
    pub at: Duration,
    /// Requests that waited for their first token at its end.
    pub waiting: u64,
    /// Counters at its start.
    pub before: SlotCounters,
    /// Counters at its end.
    pub after: SlotCounters,
    /// Length of the window.
    pub length: Duration,
    /// Whether some workspace was backlogged at every sample.
    pub is_saturated: bool,
}

/// Replays a trace against a site's routers.
///
/// # Errors
///
/// Fails if a router is not ready within 20 s.
pub fn replay(site: Site, events: &[Event], options: &ReplayOptions) -> Result<Report, LoadError> {
    let layout = Layout::with_routers(site, options.routers);
    let addresses = Addresses {
        callers: (0..options.routers)
            .map(|index| layout.caller_address(index))
            .collect(),
        admins: (0..options.routers)
            .map(|index| layout.admin_address(index))
            .collect(),
        engines: (0..ENGINES)
            .map(|index| layout.engine_address(index))
            .collect(),
        services: (0..SERVICES)
            .map(|index| layout.service_address(index))
            .collect(),
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
    let abandoned = drain(&recorder, options.drain_timeout);
    let length = started.elapsed();
    let taken = sampler.stop();
    let observations = Observations {
        site,
        length,
        samples: taken.samples,
        windows: taken.windows,
        router_peaks: taken.router_peaks,
        routers_before: before,
        routers_after: read_routers(&addresses.admins),
        started_requests: probe::fetch_started_requests(&addresses.engines),
        service_stats: probe::fetch_service_stats(&addresses.services),
        recorded: recorder.snapshot(),
        left_out,
        abandoned,
    };
    Ok(Report::from_observations(&observations))
}

fn wait_until_ready(routers: &[SocketAddr]) -> Result<(), LoadError> {
    let deadline = Instant::now() + READY_TIMEOUT;
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
        thread::sleep(SAMPLE_INTERVAL);
    }
}

fn read_routers(admins: &[SocketAddr]) -> Vec<RouterCounters> {
    admins
        .iter()
        .map(|admin| probe::read_router_counters(*admin))
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
    let flooder = flooding_workspace(events);
    let mut left_out = 0;
    for event in events {
        let due = Duration::from_millis(event.at_ms).div_f64(options.speed);
        thread::sleep(due.saturating_sub(started.elapsed()));
        progress.inc(1);
        if recorder.inspect(|recorded| recorded.in_flight) >= options.max_in_flight {
            left_out += 1;
            continue;
        }
        let is_flood = flooder == Some(event.workspace.as_str());
        spawn_caller(layout.site, event, is_flood, recorder, routers);
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

fn spawn_caller(
    site: Site,
    event: &Event,
    is_flood: bool,
    recorder: &Arc<Recorder>,
    routers: &[SocketAddr],
) {
    let event = event.clone();
    let recorder = Arc::clone(recorder);
    let mut routers = routers.to_vec();
    // With more routers than in the trace, each router of the trace maps to several.
    let routers_per_trace_router = (routers.len() / TRACE_ROUTERS).max(1);
    let offset = usize::try_from(event.number).unwrap_or(0) % routers_per_trace_router;
    let first = (event.router * routers_per_trace_router + offset) % routers.len();
    routers.rotate_left(first);
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
        eprintln!("cannot start a caller thread: {error}");
    }
}

fn drain(recorder: &Recorder, drain_timeout: Duration) -> u64 {
    let deadline = Instant::now() + drain_timeout;
    loop {
        let in_flight = recorder.inspect(|recorded| recorded.in_flight);
        if in_flight == 0 || Instant::now() >= deadline {
            return in_flight;
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
}

fn progress_bar(events: usize) -> ProgressBar {
    // indicatif hides the bar if standard error is not a terminal.
    let bar = ProgressBar::new(baobab_unit::to_u64(events));
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} requests, {eta} left");
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}

/// Handle of the thread that samples until stopped.
struct Sampler {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Sampled>,
}

/// Result of a sampler.
#[derive(Debug, Default)]
struct Sampled {
    samples: Vec<Sample>,
    windows: Vec<SlotWindow>,
    router_peaks: Vec<RouterCounters>,
}

impl Sampler {
    fn spawn(recorder: Arc<Recorder>, engines: Vec<SocketAddr>, admins: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        let thread = thread::spawn(move || run_sampler(&recorder, &engines, &admins, &flag));
        Self { stop, thread }
    }

    fn stop(self) -> Sampled {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}

impl Sampled {
    fn add_peaks(&mut self, counters: &[RouterCounters]) {
        self.router_peaks
            .resize(counters.len(), RouterCounters::default());
        for (peak, counters) in self.router_peaks.iter_mut().zip(counters) {
            peak.streams = peak.streams.max(counters.streams);
            peak.memory_bytes = peak.memory_bytes.max(counters.memory_bytes);
            peak.threads = peak.threads.max(counters.threads);
        }
    }
}

fn run_sampler(
    recorder: &Recorder,
    engines: &[SocketAddr],
    admins: &[SocketAddr],
    stop: &AtomicBool,
) -> Sampled {
    let started = Instant::now();
    let mut sampled = Sampled::default();
    let mut before = probe::read_slot_counters(engines);
    let mut window_start = started.elapsed();
    let mut is_saturated = true;
    for round in 1_u32.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        thread::sleep((SAMPLE_INTERVAL * round).saturating_sub(started.elapsed()));
        let sample = take_sample(recorder, started.elapsed());
        is_saturated &= sample.workspaces.values().any(|state| state.is_backlogged);
        let waiting = sample.workspaces.values().map(|state| state.waiting).sum();
        sampled.samples.push(sample);
        if round % SAMPLES_PER_PROCESS_READING == 0 {
            sampled.add_peaks(&read_routers(admins));
        }
        if round % SAMPLES_PER_SLOT_READING == 0 {
            let after = probe::read_slot_counters(engines);
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
    let workspaces = recorder.inspect(|recorded| {
        recorded
            .workspaces
            .iter()
            .map(|(name, progress)| {
                let is_backlogged = progress
                    .waiting
                    .values()
                    .any(|sent| now.duration_since(*sent) >= BACKLOG_THRESHOLD);
                let sample = WorkspaceSample {
                    tokens: progress.tokens,
                    is_backlogged,
                    waiting: baobab_unit::to_u64(progress.waiting.len()),
                };
                (name.clone(), sample)
            })
            .collect()
    });
    Sample { at, workspaces }
}
