//! The control thread's loop: commands in, decisions made, messages and turns out.

use {
    super::{
        Arrival, Command, Ended, Origin, Outcome, PeerSocket, Turn, TurnDenied,
        dispatching::Dispatching, health::Health, outbox::Outbox, queue::Queue, streams::Streams,
    },
    crate::{
        config::{InForce, Watcher},
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

/// Longest time between two rounds of decisions.
const ROUND: Duration = Duration::from_millis(10);
/// Least time between two rounds, so that a flood of commands costs no round each.
const ROUND_SPACING: Duration = Duration::from_millis(2);
/// Time between two signs of life to hosts of the same failure domain.
const NEAR_HEARTBEAT: Duration = Duration::from_millis(250);
/// Time between two signs of life to hosts of other failure domains.
const FAR_HEARTBEAT: Duration = Duration::from_secs(1);
/// Time between two updates of the gauges.
const GAUGES: Duration = Duration::from_millis(500);
/// Time between two rounds after which the process must have been paused.
const PAUSE_NOTICED: Duration = Duration::from_secs(1);

/// Stands in for a pool where the host that gives orders is elected.
const ORDERS_ROLE: PoolId = 0;
/// A domain without hosts.
const NO_DOMAIN: DomainId = 0;

/// The control thread's state.
pub struct Control {
    context: Arc<AppContext>,
    watcher: Watcher,
    membership: Membership,
    outbox: Outbox,
    queue: Queue,
    streams: Streams,
    health: Health,
    dispatching: Dispatching,
    in_force: Option<Arc<InForce>>,
    near_heartbeat_due: Duration,
    far_heartbeat_due: Duration,
    gauges_due: Duration,
    last_round: Duration,
    /// Whether commands came since the last round.
    is_unsettled: bool,
}

impl Control {
    /// Starts the control thread.
    pub fn spawn(
        context: Arc<AppContext>,
        commands: Receiver<Command>,
        socket: PeerSocket,
        watcher: Watcher,
    ) -> Result<()> {
        let control = Self::new(context, socket, watcher);
        thread::Builder::new()
            .name("control".into())
            .spawn(move || control.run(&commands))
            .map(drop)
    }

    fn new(context: Arc<AppContext>, socket: PeerSocket, watcher: Watcher) -> Self {
        let conf = &context.conf;
        let own = Member::new(id_of(&conf.host), id_of(&conf.domain));
        let peers = conf
            .peers
            .iter()
            .map(|peer| Member::new(id_of(&peer.host), id_of(&peer.domain)));
        Self {
            membership: Membership::start(own, peers),
            outbox: Outbox::new(
                own.host,
                own.domain,
                context.incarnation,
                &conf.peers,
                socket,
                context.metrics.clone(),
            ),
            dispatching: Dispatching::new(conf, own, context.incarnation),
            queue: Queue::default(),
            streams: Streams::default(),
            health: Health::new(),
            in_force: None,
            near_heartbeat_due: Duration::ZERO,
            far_heartbeat_due: Duration::ZERO,
            gauges_due: Duration::ZERO,
            last_round: context.clock.now(),
            is_unsettled: false,
            watcher,
            context,
        }
    }

    fn run(mut self, commands: &Receiver<Command>) {
        loop {
            let due = self.round_due(!commands.is_empty());
            let first = match commands.recv_timeout(due) {
                Ok(command) => Some(command),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let started = self.context.clock.now();
            let has_command = first.is_some();
            for command in first.into_iter().chain(commands.try_iter()) {
                self.on_command(started, command);
            }
            self.is_unsettled |= has_command;
            if !has_command || started >= self.last_round + ROUND_SPACING {
                self.notice_pause(started);
                self.round(started);
                self.is_unsettled = false;
            }
            let busy = self.context.clock.now().saturating_sub(started);
            let busy_us = baobab_unit::micros(busy);
            self.context.metrics.control_busy_us.inc_by(busy_us);
        }
    }

    /// Time until the next round: soon where commands came since the last one.
    fn round_due(&self, has_commands: bool) -> Duration {
        if has_commands {
            return Duration::ZERO;
        }
        let spacing = if self.is_unsettled {
            ROUND_SPACING
        } else {
            ROUND
        };
        let now = self.context.clock.now();
        (self.last_round + spacing).saturating_sub(now)
    }

    fn notice_pause(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_round);
        self.last_round = now;
        if pause > PAUSE_NOTICED {
            log::warn!("the process was paused for {} ms", pause.as_millis());
        }
    }

    fn on_command(&mut self, now: Duration, command: Command) {
        match command {
            Command::Arrive(arrival) => self.on_arrival(arrival),
            Command::Leave(id) => drop(self.queue.remove(id)),
            Command::Ended(ended) => self.on_ended(now, &ended),
            Command::Packet(packet) => self.on_packet(now, packet),
            Command::InForce(in_force) => self.on_in_force(now, in_force),
            Command::Hosts(hosts) => self.on_hosts(&hosts),
            Command::Drain => self.on_drain(),
        }
    }

    fn on_arrival(&mut self, arrival: Arrival) {
        let denied = self.admission_error(&arrival);
        if let Some(denied) = denied {
            // The caller's thread may have given up already.
            drop(arrival.turn.send(Turn::Denied(denied)));
            return;
        }
        self.queue.push(arrival);
    }

    fn admission_error(&mut self, arrival: &Arrival) -> Option<TurnDenied> {
        let retry_after = self.queue.retry_after(arrival.workspace);
        match arrival.origin {
            Origin::New => {}
            Origin::Returned => return None,
            Origin::Retry => {
                let paid = self.health.spend_retry();
                return (!paid).then_some(TurnDenied::RetryBudget { retry_after });
            }
        }
        let limit = self.in_force.as_ref().and_then(|in_force| {
            in_force
                .declarations
                .workspaces
                .iter()
                .find(|workspace| workspace.id() == arrival.workspace)
                .map(|workspace| workspace.queue_limit)
        });
        let Some(limit) = limit else {
            return Some(TurnDenied::NotDeclared);
        };
        if self.queue.waiting_of(arrival.workspace) >= limit {
            return Some(TurnDenied::QueueFull { retry_after });
        }
        self.health.earn_retry();
        None
    }

    fn on_ended(&mut self, now: Duration, ended: &Ended) {
        let Some(stream) = self.streams.end(ended) else {
            return;
        };
        match ended.outcome {
            Outcome::Fine => self.health.succeeded(stream.engine),
            Outcome::EngineFailed => self.health.failed(now, stream.engine),
            Outcome::NotSent => {}
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
            log::info!("host {sender:08x} has started as run {incarnation}");
        }
        for message in messages {
            match message {
                Message::Heartbeat(heartbeat) => self.on_heartbeat(sender, heartbeat),
                Message::Report(report) => {
                    self.dispatching
                        .on_report(now, sender, incarnation, &report);
                }
                Message::Grants(grants) => {
                    self.dispatching
                        .on_grants(now, sender, incarnation, &grants);
                }
                Message::PoolUpdate(update) => {
                    self.dispatching
                        .on_pool_update(now, sender, incarnation, &update);
                }
                Message::Sync(sync) => self.dispatching.on_sync(&sync),
                // These pass over TCP only.
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

    fn on_in_force(&mut self, now: Duration, in_force: Arc<InForce>) {
        self.dispatching.declare(now, &in_force.declarations);
        let undeclared = self.queue.take_undeclared(|model, workspace| {
            let declarations = &in_force.declarations;
            let has_model = declarations.models.iter().any(|entry| entry.id() == model);
            let has_workspace = declarations
                .workspaces
                .iter()
                .any(|entry| entry.id() == workspace);
            has_model && has_workspace
        });
        for arrival in undeclared {
            drop(arrival.turn.send(Turn::Denied(TurnDenied::NotDeclared)));
        }
        self.in_force = Some(in_force);
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
        self.dispatching.set_leaving(leaving);
    }

    fn on_drain(&mut self) {
        self.membership
            .set_draining(id_of(&self.context.conf.host), true);
        // Peers take the roles over as soon as they hear of it.
        self.near_heartbeat_due = Duration::ZERO;
        self.far_heartbeat_due = Duration::ZERO;
    }

    fn round(&mut self, now: Duration) {
        self.send_heartbeats(now);
        self.streams.count_progress();
        let started = self.dispatching.round(
            now,
            &mut super::dispatching::Parts {
                membership: &self.membership,
                outbox: &mut self.outbox,
                queue: &mut self.queue,
                streams: &mut self.streams,
                health: &self.health,
            },
        );
        for (outcome, count) in started.outcomes() {
            self.context
                .metrics
                .grants
                .with_label_values(&[outcome])
                .inc_by(count);
        }
        self.outbox.flush();
        if now >= self.gauges_due {
            self.gauges_due = now + GAUGES;
            self.show();
            self.elect_orders_host(now);
        }
    }

    fn send_heartbeats(&mut self, now: Duration) {
        let heartbeat = Message::Heartbeat(Heartbeat {
            config_version: self.context.config.version(),
            draining: self.context.draining.load(Ordering::Relaxed),
        });
        if now >= self.near_heartbeat_due {
            self.near_heartbeat_due = now + NEAR_HEARTBEAT;
            self.outbox.add_to_peers(true, &heartbeat);
        }
        if now >= self.far_heartbeat_due {
            self.far_heartbeat_due = now + FAR_HEARTBEAT;
            self.outbox.add_to_peers(false, &heartbeat);
        }
    }

    /// Notes whether this host is the one to give orders: one of the whole fleet, of any domain.
    fn elect_orders_host(&self, now: Duration) {
        let elected = self.membership.dispatcher(now, ORDERS_ROLE, NO_DOMAIN);
        let is_own = elected == Some(id_of(&self.context.conf.host));
        self.context.is_orders_host.store(is_own, Ordering::Relaxed);
    }

    fn show(&self) {
        let metrics = &self.context.metrics;
        metrics.waiting.set(i64::from(self.queue.waiting()));
        let streams = i64::try_from(self.streams.len()).unwrap_or(i64::MAX);
        metrics.streams.set(streams);
        let status = self.dispatching.status();
        let figures = [
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
        for (name, value) in figures {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            metrics.dispatcher.with_label_values(&[name]).set(value);
        }
    }
}
