//! The control thread's loop: handles commands, makes decisions and sends messages and replies.

use {
    super::{
        Command, DenialReason, PeerSocket, QueueReason, QueueReply, QueuedRequest, StreamEnd,
        StreamOutcome, health::Health, outbox::Outbox, pool_manager::PoolManager, queue::Queue,
        streams::Streams,
    },
    crate::{
        config::{ConfigWatcher, Configuration},
        context::AppContext,
    },
    baobab_fleet::{Member, Membership},
    baobab_store::{HostEntry, HostState},
    baobab_unit::{DomainId, HostId, PoolId, id_of},
    baobab_wire::{Heartbeat, Message, Packet},
    flume::{Receiver, RecvTimeoutError},
    std::{
        collections::BTreeSet,
        io::Result,
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
};

/// Maximum time between two rounds of decisions.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum time between two rounds, so that not every command in a flood costs a round.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(2);
/// Interval of heartbeats to hosts of the same failure domain.
const SAME_DOMAIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of heartbeats to hosts of other failure domains.
const OTHER_DOMAIN_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which gauges are updated and the host for engine orders is elected.
const GAUGE_INTERVAL: Duration = Duration::from_millis(500);
/// A gap between two rounds above this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Pool identifier used to elect the host that gives orders to engines.
const ORDERS_POOL: PoolId = 0;
/// Matches no failure domain, so that the hosts of every domain are eligible.
const NO_DOMAIN: DomainId = 0;

/// The control thread's state.
pub struct Control {
    context: Arc<AppContext>,
    watcher: ConfigWatcher,
    membership: Membership,
    outbox: Outbox,
    queue: Queue,
    streams: Streams,
    health: Health,
    pool_manager: PoolManager,
    configuration: Option<Arc<Configuration>>,
    same_domain_heartbeat_due: Duration,
    other_domain_heartbeat_due: Duration,
    gauges_due: Duration,
    last_round: Duration,
    /// Whether commands have been handled since the last round.
    has_new_commands: bool,
}

impl Control {
    /// Starts the control thread.
    pub fn spawn(
        context: Arc<AppContext>,
        commands: Receiver<Command>,
        socket: PeerSocket,
        watcher: ConfigWatcher,
    ) -> Result<()> {
        let control = Self::new(context, socket, watcher);
        thread::Builder::new()
            .name("control".into())
            .spawn(move || control.run(&commands))
            .map(drop)
    }

    fn new(context: Arc<AppContext>, socket: PeerSocket, watcher: ConfigWatcher) -> Self {
        let conf = &context.conf;
        let own_member = Member::new(id_of(&conf.host), id_of(&conf.domain));
        let peers = conf
            .peers
            .iter()
            .map(|peer| Member::new(id_of(&peer.host), id_of(&peer.domain)));
        Self {
            membership: Membership::start(own_member, peers),
            outbox: Outbox::new(
                own_member.host,
                own_member.domain,
                context.incarnation,
                &conf.peers,
                socket,
                context.metrics.clone(),
            ),
            pool_manager: PoolManager::new(conf, own_member, context.incarnation),
            queue: Queue::default(),
            streams: Streams::default(),
            health: Health::new(),
            configuration: None,
            same_domain_heartbeat_due: Duration::ZERO,
            other_domain_heartbeat_due: Duration::ZERO,
            gauges_due: Duration::ZERO,
            last_round: context.clock.now(),
            has_new_commands: false,
            watcher,
            context,
        }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let timeout = self.time_to_round(!commands.is_empty());
            let first_command = match commands.recv_timeout(timeout) {
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let started = self.context.clock.now();
            let has_command = first_command.is_some();
            for command in first_command.into_iter().chain(commands.try_iter()) {
                self.on_command(started, command);
            }
            self.has_new_commands |= has_command;
            if !has_command || started >= self.last_round + MIN_ROUND_INTERVAL {
                self.detect_pause(started);
                self.run_round(started);
                self.has_new_commands = false;
            }
            let busy = self.context.clock.now().saturating_sub(started);
            let busy_us = baobab_unit::micros(busy);
            self.context.metrics.control_busy_us.inc_by(busy_us);
        }
    }

    /// Returns the time until the next round, which is shorter after new commands.
    fn time_to_round(&self, has_commands: bool) -> Duration {
        if has_commands {
            return Duration::ZERO;
        }
        let interval = if self.has_new_commands {
            MIN_ROUND_INTERVAL
        } else {
            MAX_ROUND_INTERVAL
        };
        let now = self.context.clock.now();
        (self.last_round + interval).saturating_sub(now)
    }

    fn detect_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_round);
        self.last_round = now;
        if pause > PAUSE_THRESHOLD {
            log::warn!("process was paused for {} ms", pause.as_millis());
        }
    }

    fn on_command(&mut self, now: Duration, command: Command) {
        match command {
            Command::Enqueue(request) => self.on_queued_request(request),
            Command::CancelWaiting(id) => drop(self.queue.remove(id)),
            Command::StreamEnded(stream_end) => self.on_stream_end(now, &stream_end),
            Command::Packet(packet) => self.on_packet(now, packet),
            Command::Configuration(configuration) => self.on_configuration(now, configuration),
            Command::Hosts(hosts) => self.on_hosts(&hosts),
            Command::Drain => self.on_drain(),
        }
    }

    fn on_queued_request(&mut self, request: QueuedRequest) {
        let denial = self.admission_error(&request);
        if let Some(denial) = denial {
            // The caller's thread may have stopped waiting already.
            drop(request.reply.send(QueueReply::Denied(denial)));
            return;
        }
        self.queue.push(request);
    }

    fn admission_error(&mut self, request: &QueuedRequest) -> Option<DenialReason> {
        let retry_after = self.queue.retry_after(request.workspace);
        match request.reason {
            QueueReason::New => {}
            QueueReason::GrantLost => return None,
            QueueReason::Retry => {
                let is_within_budget = self.health.try_spend_retry();
                return (!is_within_budget).then_some(DenialReason::RetryBudget { retry_after });
            }
        }
        let limit = self.configuration.as_ref().and_then(|configuration| {
            configuration
                .declarations
                .workspaces
                .iter()
                .find(|workspace| workspace.id() == request.workspace)
                .map(|workspace| workspace.queue_limit)
        });
        let Some(limit) = limit else {
            return Some(DenialReason::NotDeclared);
        };
        if self.queue.waiting_of(request.workspace) >= limit {
            return Some(DenialReason::QueueFull { retry_after });
        }
        self.health.refill_retry_budget();
        None
    }

    fn on_stream_end(&mut self, now: Duration, stream_end: &StreamEnd) {
        let Some(stream) = self.streams.end(stream_end) else {
            return;
        };
        match stream_end.outcome {
            StreamOutcome::EngineOk => self.health.record_success(stream.engine),
            StreamOutcome::EngineFailed => self.health.record_failure(now, stream.engine),
            StreamOutcome::NotSent => {}
        }
    }

    fn on_packet(&mut self, now: Duration, packet: Packet) {
        let Packet {
            sender,
            incarnation,
            messages,
            ..
        } = packet;
        if self.membership.on_heartbeat(now, sender, incarnation) {
            log::info!("host {sender:08x} started with incarnation {incarnation}");
        }
        for message in messages {
            match message {
                Message::Heartbeat(heartbeat) => self.on_heartbeat(sender, heartbeat),
                Message::Report(report) => {
                    self.pool_manager
                        .on_report(now, sender, incarnation, &report);
                }
                Message::Grants(grants) => {
                    self.pool_manager
                        .on_grants(now, sender, incarnation, &grants);
                }
                Message::PoolUpdate(update) => {
                    self.pool_manager
                        .on_pool_update(now, sender, incarnation, &update);
                }
                Message::Sync(sync) => self.pool_manager.on_sync(&sync),
                // Sent over TCP only.
                Message::WantConfig | Message::Config(_) => {}
            }
        }
    }

    fn on_heartbeat(&mut self, sender: HostId, heartbeat: Heartbeat) {
        self.membership.set_draining(sender, heartbeat.draining);
        if heartbeat.config_version > self.context.config.version() {
            self.watcher.wake();
        }
    }

    fn on_configuration(&mut self, now: Duration, configuration: Arc<Configuration>) {
        self.pool_manager
            .apply_declarations(now, &configuration.declarations);
        let undeclared = self.queue.remove_undeclared(|model, workspace| {
            let declarations = &configuration.declarations;
            let has_model = declarations.models.iter().any(|entry| entry.id() == model);
            let has_workspace = declarations
                .workspaces
                .iter()
                .any(|entry| entry.id() == workspace);
            has_model && has_workspace
        });
        for request in undeclared {
            drop(
                request
                    .reply
                    .send(QueueReply::Denied(DenialReason::NotDeclared)),
            );
        }
        self.configuration = Some(configuration);
    }

    fn on_hosts(&mut self, hosts: &[HostEntry]) {
        let leaving: BTreeSet<String> = hosts
            .iter()
            .filter(|entry| entry.state == HostState::Leaving)
            .map(|entry| entry.name.clone())
            .collect();
        let names = self.context.conf.peers.iter().map(|peer| &peer.host);
        for host in names.chain([&self.context.conf.host]) {
            self.membership
                .set_leaving(id_of(host), leaving.contains(host));
        }
        self.pool_manager.set_leaving(leaving);
    }

    fn on_drain(&mut self) {
        self.membership
            .set_draining(id_of(&self.context.conf.host), true);
        // Peers take over the dispatcher roles as soon as they receive the heartbeat.
        self.same_domain_heartbeat_due = Duration::ZERO;
        self.other_domain_heartbeat_due = Duration::ZERO;
    }

    fn run_round(&mut self, now: Duration) {
        self.send_heartbeats(now);
        self.streams.count_progress();
        let grant_counts = self.pool_manager.run_round(
            now,
            &mut super::pool_manager::RoundContext {
                membership: &self.membership,
                outbox: &mut self.outbox,
                queue: &mut self.queue,
                streams: &mut self.streams,
                health: &self.health,
            },
        );
        for (outcome, count) in grant_counts.by_outcome() {
            self.context
                .metrics
                .grants
                .with_label_values(&[outcome])
                .inc_by(count);
        }
        self.outbox.flush();
        if now >= self.gauges_due {
            self.gauges_due = now + GAUGE_INTERVAL;
            self.update_gauges();
            self.elect_orders_host(now);
        }
    }

    fn send_heartbeats(&mut self, now: Duration) {
        let heartbeat = Message::Heartbeat(Heartbeat {
            config_version: self.context.config.version(),
            draining: self.context.draining.load(Ordering::Relaxed),
        });
        if now >= self.same_domain_heartbeat_due {
            self.same_domain_heartbeat_due = now + SAME_DOMAIN_HEARTBEAT_INTERVAL;
            self.outbox.add_for_peers(true, &heartbeat);
        }
        if now >= self.other_domain_heartbeat_due {
            self.other_domain_heartbeat_due = now + OTHER_DOMAIN_HEARTBEAT_INTERVAL;
            self.outbox.add_for_peers(false, &heartbeat);
        }
    }

    /// Records whether this host is the one in the whole fleet that gives orders to engines.
    fn elect_orders_host(&self, now: Duration) {
        let elected = self.membership.dispatcher(now, ORDERS_POOL, NO_DOMAIN);
        let is_own_host = elected == Some(id_of(&self.context.conf.host));
        self.context
            .is_orders_host
            .store(is_own_host, Ordering::Relaxed);
    }

    fn update_gauges(&self) {
        let metrics = &self.context.metrics;
        metrics.waiting.set(i64::from(self.queue.waiting()));
        let streams = i64::try_from(self.streams.len()).unwrap_or(i64::MAX);
        metrics.streams.set(streams);
        let status = self.pool_manager.status();
        let values = [
            ("slots", u64::from(status.slots)),
            ("free", u64::from(status.free)),
            ("slow_engines", u64::from(status.slow_engines)),
            ("waiting", u64::from(status.waiting)),
            ("granted", status.granted),
            ("granted_remote", status.granted_remote),
            ("revoked", status.revoked),
            ("reclaimed", status.reclaimed),
            ("rows_refused", status.rows_refused),
        ];
        for (name, value) in values {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            metrics.dispatcher.with_label_values(&[name]).set(value);
        }
    }
}
